package org.comfreyslip.entry.blame;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Names what requests may have in common that crashes an endpoint.
 */
public final class RequestTraits {

	private RequestTraits() {
	}

	/**
	 * Returns the traits of a request.
	 * @param service the service that serves it; its requests have nothing in common with
	 * those of others
	 * @param sharedPromptParts identities of the parts of its prompt that other requests
	 * may share
	 * @return the traits; may be empty
	 */
	public static Set<String> of(String service, List<String> sharedPromptParts) {
		Set<String> traits = new HashSet<>();
		for (String part : sharedPromptParts) {
			traits.add(service + "/part/" + part);
		}
		return Set.copyOf(traits);
	}

}
