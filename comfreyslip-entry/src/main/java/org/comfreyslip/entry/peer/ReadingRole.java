package org.comfreyslip.entry.peer;

import java.util.function.LongSupplier;

import org.comfreyslip.entry.config.StoreReading;

/**
 * Whether this daemon reads the store or follows a reader. A reader that falls silent, or
 * states that it does not reach the store, must be replaced well within the time in which
 * a configuration must be in force: its followers would not learn of one.
 */
final class ReadingRole {

	private final String dataCentre;

	private final String daemon;

	private final PeerTable table;

	private final LongSupplier configurationApplyMs;

	private StoreReading current = StoreReading.ALONE;

	/** Whether the reader could read when it was selected. */
	private boolean readerCouldRead;

	/**
	 * Creates the role of a daemon that knows no others and reads.
	 * @param dataCentre the data centre
	 * @param daemon the daemon's name
	 * @param table the other daemons
	 * @param configurationApplyMs gives the time in which a configuration must be in
	 * force, in ms
	 */
	ReadingRole(String dataCentre, String daemon, PeerTable table, LongSupplier configurationApplyMs) {
		this.dataCentre = dataCentre;
		this.daemon = daemon;
		this.table = table;
		this.configurationApplyMs = configurationApplyMs;
	}

	/**
	 * Returns the role as of the last selection.
	 * @return the role
	 */
	StoreReading current() {
		return this.current;
	}

	/**
	 * Selects the reader of the data centre anew.
	 * @param storeReachable whether this daemon's own last read succeeded
	 * @param nowNanos the current elapsed time in ns
	 * @return whether this daemon begins or ceases to read
	 */
	boolean update(boolean storeReachable, long nowNanos) {
		boolean readBefore = this.current.reads();
		this.current = ReaderSelection.select(this.dataCentre, this.daemon, storeReachable,
				this.table.liveLocalPeers(silenceNanos(), nowNanos));
		this.readerCouldRead = canReaderRead(nowNanos);
		return readBefore != this.current.reads();
	}

	/**
	 * Tells whether the reader that this daemon follows has to be replaced.
	 * @param nowNanos the current elapsed time in ns
	 * @return whether it could read when it was selected and cannot any more
	 */
	boolean isReaderLost(long nowNanos) {
		return this.readerCouldRead && !canReaderRead(nowNanos);
	}

	private boolean canReaderRead(long nowNanos) {
		return !this.current.reads() && this.table.canRead(this.current.reader(), silenceNanos(), nowNanos);
	}

	private long silenceNanos() {
		return PeerSchedule.readerSilenceNanos(this.table.countLocalPeers(), this.configurationApplyMs.getAsLong());
	}

}
