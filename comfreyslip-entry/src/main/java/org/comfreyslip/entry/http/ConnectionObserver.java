package org.comfreyslip.entry.http;

/**
 * Learns from the connections of a pool whether their targets can be reached.
 */
interface ConnectionObserver {

	/** Learns nothing. */
	ConnectionObserver NONE = new ConnectionObserver() {

		@Override
		public void onConnectFailed(ConnectionTarget target, ConnectFailure failure) {
		}

		@Override
		public void onClosedUnanswered(ConnectionTarget target) {
		}

		@Override
		public void onAnswer(ConnectionTarget target, long openedAtNanos) {
		}

		@Override
		public void onStrayBytes(ConnectionTarget target, StrayBytes kind, int count, String attemptId) {
		}

	};

	/**
	 * A connection could not be opened.
	 * @param target where it should have led
	 * @param failure why it failed
	 */
	void onConnectFailed(ConnectionTarget target, ConnectFailure failure);

	/**
	 * A new connection was closed before any response arrived.
	 * @param target where it led
	 */
	void onClosedUnanswered(ConnectionTarget target);

	/**
	 * The head of a response arrived.
	 * @param target where the connection leads
	 * @param openedAtNanos steady time in ns at which the connection was opened
	 */
	void onAnswer(ConnectionTarget target, long openedAtNanos);

	/**
	 * Bytes arrived that belong to no response that is due.
	 * @param target where the connection leads
	 * @param kind where on the connection they arrived
	 * @param count number of bytes known when they were noticed; 0 for a whole response,
	 * of which only the head is known then
	 * @param attemptId identity of the last request on the connection
	 */
	void onStrayBytes(ConnectionTarget target, StrayBytes kind, int count, String attemptId);

}
