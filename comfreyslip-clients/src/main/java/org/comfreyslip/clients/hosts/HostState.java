package org.comfreyslip.clients.hosts;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * State of a host in the host list.
 */
public enum HostState {

	/** In service. */
	@JsonProperty("live")
	LIVE,

	/** About to be taken out of service. */
	@JsonProperty("leaving")
	LEAVING

}
