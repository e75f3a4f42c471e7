package org.comfreyslip.entry;

import java.util.Optional;

import org.comfreyslip.entry.config.KeyedLog;
import org.comfreyslip.entry.http.HeaderTranslator;
import org.comfreyslip.entry.layers.EngineControl;
import org.comfreyslip.entry.layers.LeaderElection;
import org.comfreyslip.entry.model.Configuration;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.peer.PeerRegistry;

/**
 * What the daemon needs from the adapter of a platform.
 *
 * @param wire header fields
 * @param configurations the topic that holds the configuration
 * @param endpoints the topic that holds the endpoints' registrations
 * @param engines calls to engines
 * @param duties the group among which the placement duty is dealt
 * @param peers where daemons find each other
 * @param decoder decodes records
 */
public record PlatformPorts(HeaderTranslator wire, KeyedLog configurations, KeyedLog endpoints, EngineControl engines,
		LeaderElection duties, PeerRegistry peers, RecordDecoder decoder) {

	/** Decodes records of the store. */
	public interface RecordDecoder {

		/**
		 * Decodes a record of the configuration topic.
		 * @param key the record's key
		 * @param value the record's value
		 * @return the configuration, empty if the key holds something else
		 * @throws UnreadableRecordException if the value is no configuration
		 */
		Optional<Configuration> configuration(String key, byte[] value);

		/**
		 * Decodes a registration.
		 * @param id the endpoint's identity
		 * @param value the record's value
		 * @return the endpoint
		 * @throws UnreadableRecordException if the value is no registration
		 */
		Endpoint endpoint(String id, byte[] value);

	}

}
