package org.comfreyslip.entry.model;

/**
 * Whether requests of a route may run more than once.
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

	/** The response is a stream of events; it may run again if it can be resumed. */
	STREAMING {
		@Override
		public boolean mayRunAgain(boolean resumable) {
			return resumable;
		}
	};

	/**
	 * Tells whether a request whose first run has an unknown outcome may run again.
	 * @param resumable whether the route's streams may be resumed
	 * @return whether another run is allowed
	 */
	public abstract boolean mayRunAgain(boolean resumable);

}
