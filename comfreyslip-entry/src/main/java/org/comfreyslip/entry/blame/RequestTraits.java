package org.comfreyslip.entry.blame;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Names what requests may have in common that crashes an endpoint.
 */
public final class RequestTraits {

	private static final String REQUEST = "/request/";

	private RequestTraits() {
	}

	/**
	 * Returns the traits of a request.
	 * @param service the service that serves it; its requests have nothing in common with
	 * those of others
	 * @param sharedPromptParts identities of the parts of its prompt that other requests
	 * may share
	 * @param digest digest that only the same request has when it is sent again
	 * @return the traits; not empty
	 */
	public static Set<String> of(String service, List<String> sharedPromptParts, String digest) {
		Set<String> traits = new HashSet<>();
		traits.add(service + REQUEST + digest);
		for (String part : sharedPromptParts) {
			traits.add(service + "/part/" + part);
		}
		return Set.copyOf(traits);
	}

	/**
	 * Tells whether a trait is that of a single request, which has it each time that it
	 * is sent again.
	 * @param trait the trait
	 * @return whether no other request has it
	 */
	static boolean isOfOneRequest(String trait) {
		return trait.contains(REQUEST);
	}

}
