package org.comfreyslip.entry.blame;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Counts independent evidence: crashes that different requests may have caused. One
 * request that is sent from one crashing endpoint to the next counts once, and so do many
 * requests at one endpoint.
 */
final class CrashMatching {

	private CrashMatching() {
	}

	/**
	 * Returns the size of a maximum matching of crashes with different requests.
	 * @param crashes the requests of each crash
	 * @param limit number from which on it does not matter how many there are
	 * @return the number of crashes that can each be given a request of its own; at most
	 * the limit
	 */
	static int count(List<Set<String>> crashes, int limit) {
		Map<String, Integer> crashByRequest = new HashMap<>();
		int matched = 0;
		for (int crash = 0; crash < crashes.size() && matched < limit; crash++) {
			if (assign(crash, crashes, crashByRequest, new HashSet<>())) {
				matched++;
			}
		}
		return matched;
	}

	// Gives a crash a request, moving other crashes to other requests if need be.
	private static boolean assign(int crash, List<Set<String>> crashes, Map<String, Integer> crashByRequest,
			Set<String> tried) {
		for (String request : crashes.get(crash)) {
			if (tried.add(request)) {
				Integer holder = crashByRequest.get(request);
				if (holder == null || assign(holder, crashes, crashByRequest, tried)) {
					crashByRequest.put(request, crash);
					return true;
				}
			}
		}
		return false;
	}

}
