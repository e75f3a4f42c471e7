package org.comfreyslip.entry;

import java.util.Optional;

import org.comfreyslip.entry.config.KeyedLog;
import org.comfreyslip.entry.config.KeyedWriter;
import org.comfreyslip.entry.duty.DutyLog;
import org.comfreyslip.entry.http.HeaderTranslator;
import org.comfreyslip.entry.layers.EngineControl;
import org.comfreyslip.entry.layers.LeaderElection;
import org.comfreyslip.entry.model.Configuration;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.peer.PeerRegistry;

/**
 * The interfaces through which the daemon uses a platform; the platform's adapter
 * implements them.
 *
 * @param wire translation of the header fields
 * @param configurations the topic of the store that holds the configuration
 * @param endpoints the topic of the store that holds the endpoints' registrations
 * @param crashCauses the topic of the store that holds the causes of crashes
 * @param crashCauseWriter write access to that topic
 * @param engines calls to engines
 * @param leadership the group from which the store elects the leader for layer placement
 * while daemons of earlier releases are alive
 * @param dutyLog the log of the store that decides who holds the placement duty
 * @param peers the registry through which daemons find each other
 * @param decoder decoder of the records of both topics
 */
public record PlatformPorts(HeaderTranslator wire, KeyedLog configurations, KeyedLog endpoints, KeyedLog crashCauses,
		KeyedWriter crashCauseWriter, EngineControl engines, LeaderElection leadership, DutyLog dutyLog,
		PeerRegistry peers, RecordDecoder decoder) {

	/** Decodes records of the store. */
	public interface RecordDecoder {

		/**
		 * Decodes a record of the configuration topic.
		 * @param key key of the record
		 * @param value value of the record
		 * @return the configuration; empty if the key is not that of a configuration
		 * @throws UnreadableRecordException if the value is not a valid configuration
		 */
		Optional<Configuration> configuration(String key, byte[] value);

		/**
		 * Decodes an endpoint's registration.
		 * @param id identity of the endpoint, which is the key of the record
		 * @param value value of the record
		 * @return the registered endpoint
		 * @throws UnreadableRecordException if the value is not a valid registration
		 */
		Endpoint endpoint(String id, byte[] value);

	}

}
