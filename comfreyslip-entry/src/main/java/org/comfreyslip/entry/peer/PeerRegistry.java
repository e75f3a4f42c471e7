package org.comfreyslip.entry.peer;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;

import org.comfreyslip.entry.config.KeyedLog;

/**
 * Topic of the store in which daemons publish their addresses to each other.
 */
public interface PeerRegistry {

	/**
	 * Publishes this daemon's address.
	 * @param name the daemon's name, which is the key of the record
	 * @param address address on which the daemon receives datagrams
	 * @param done called once with whether the store acknowledged the write
	 */
	void announce(String name, InetSocketAddress address, Consumer<Boolean> done);

	/**
	 * Returns read access to the announcements of all daemons.
	 * @return the topic, keyed by daemon name
	 */
	KeyedLog announcements();

	/**
	 * Decodes an announcement.
	 * @param value value of a record of the topic
	 * @return the daemon's address; empty if the value is not an announcement
	 */
	Optional<InetSocketAddress> decodeAddress(byte[] value);

}
