package org.comfreyslip.entry.peer;

import java.util.Optional;

/**
 * A part of the daemon that adds a block of its own to the periodic messages between
 * daemons. Daemons that do not know its tag skip the block, so that releases with and
 * without it work side by side.
 */
public interface PeerExtension {

	/**
	 * Returns the tag of the block.
	 * @return one of the constants of {@link PeerExtensionTag}
	 */
	int tag();

	/**
	 * Returns the content of the block for the next round of messages.
	 * @param nowNanos the current elapsed time in ns
	 * @return at most {@link PeerMessage#MAX_EXTENSION_BYTES} bytes; empty for no block
	 */
	Optional<byte[]> content(long nowNanos);

	/**
	 * Handles the block in a message from another daemon. The content may come from any
	 * process, so that what cannot be decoded is ignored.
	 * @param sender name of the daemon that sent it
	 * @param dataCentre the sender's data centre
	 * @param content the content of its block; empty if its message has none, as those of
	 * earlier releases
	 * @param nowNanos the current elapsed time in ns
	 */
	void onContent(String sender, String dataCentre, Optional<byte[]> content, long nowNanos);

}
