package org.comfreyslip.entry.model;

/**
 * What may be repeated on a route.
 */
public enum RouteKind {

	/** A request may run more than once. */
	IDEMPOTENT {
		@Override
		public boolean mayRunAgain(boolean resumable) {
			return true;
		}
	},

	/** A request runs at most once. */
	NON_IDEMPOTENT {
		@Override
		public boolean mayRunAgain(boolean resumable) {
			return false;
		}
	},

	/** The response is a series of events. */
	STREAMING {
		@Override
		public boolean mayRunAgain(boolean resumable) {
			return resumable;
		}
	};

	/**
	 * Tells whether a request whose first run has an unknown outcome may run again.
	 * @param resumable whether the route's streams may be resumed
	 * @return whether a second run is allowed
	 */
	public abstract boolean mayRunAgain(boolean resumable);

}
