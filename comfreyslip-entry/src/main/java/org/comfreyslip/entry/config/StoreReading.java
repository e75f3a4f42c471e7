package org.comfreyslip.entry.config;

/**
 * Whether a daemon reads the topics of the store by itself. In a data centre with many
 * daemons one of them reads, and the others follow what it tells them.
 *
 * @param reads whether this daemon reads all the time; otherwise it reads only what other
 * daemons do not tell it in time
 * @param reader name of the daemon that reads for this one; empty if this one reads
 * @param localPeers number of other daemons in the data centre
 * @param followers number of daemons that follow this one; 0 if each reads for itself
 * @param followerLagMs how much later than this daemon its followers learn that its
 * knowledge is confirmed, in ms
 */
public record StoreReading(boolean reads, String reader, int localPeers, int followers, long followerLagMs) {

	/** Every daemon reads for itself, as long as no others are known. */
	public static final StoreReading ALONE = new StoreReading(true, "", 0, 0, 0);

}
