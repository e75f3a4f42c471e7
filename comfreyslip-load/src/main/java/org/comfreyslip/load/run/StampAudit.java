package org.comfreyslip.load.run;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.comfreyslip.load.scenario.RequestKind;

/**
 * Compares what callers were told about their stamps with the records of the service.
 */
public final class StampAudit {

	private StampAudit() {
	}

	/**
	 * Finds stamps that were lost, recorded twice, or recorded although their last answer
	 * states that they were not run.
	 * @param observations all requests
	 * @param recordedKeys the key of each record of the service
	 * @return one line per violation
	 */
	public static List<String> violations(Collection<Observation> observations, Collection<String> recordedKeys) {
		Map<String, Long> counts = recordedKeys.stream()
			.collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
		List<String> found = new ArrayList<>();
		for (Observation stamp : observations) {
			if (stamp.arrival().kind() == RequestKind.STAMP) {
				long count = counts.getOrDefault(stamp.key(), 0L);
				if (count > 1) {
					found.add("stamp " + stamp.key() + " is recorded " + count + " times");
				}
				else if (count == 0 && stamp.answer().isDone()) {
					found.add("stamp " + stamp.key() + " was reported as done and is not recorded");
				}
				else if (count == 1 && stamp.answer().answerClass() == AnswerClass.NOT_RUN) {
					found.add("stamp " + stamp.key() + " was reported as not run and is recorded");
				}
			}
		}
		return found;
	}

}
