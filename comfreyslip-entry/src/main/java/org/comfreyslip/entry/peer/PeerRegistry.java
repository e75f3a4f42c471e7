package org.comfreyslip.entry.peer;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;

import org.comfreyslip.entry.config.KeyedLog;

/**
 * Where daemons make their addresses known to each other.
 */
public interface PeerRegistry {

	/**
	 * Writes this daemon's address.
	 * @param name the daemon's name
	 * @param address where it receives datagrams
	 * @param done takes whether the write was acknowledged
	 */
	void announce(String name, InetSocketAddress address, Consumer<Boolean> done);

	/**
	 * Returns the topic that holds the announcements, by daemon name.
	 * @return the topic
	 */
	KeyedLog announcements();

	/**
	 * Decodes an announcement.
	 * @param value the record's value
	 * @return the address, empty if the record is no announcement
	 */
	Optional<InetSocketAddress> address(byte[] value);

}
