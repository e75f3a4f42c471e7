package org.comfreyslip.entry.reach;

import java.util.ArrayList;
import java.util.List;

import org.comfreyslip.entry.reach.CutOffSimulation.Daemon;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of many daemons, some of which are cut off from all endpoints, in simulated time.
 * They guard against callers that are refused although other daemons reach the endpoints,
 * and against a cut or its end that floods the other daemons or the endpoints.
 */
class ManyDaemonsCutOffTests {

	/** Time after which a cut must be known, in ms. */
	private static final long CONTACT_MS = 3_000;

	private static final long CUT_MS = 12_000;

	/** Share of first tries that may fail, as one in so many. */
	private static final int TRIES_PER_FAILURE = 50;

	/** Load of a sound daemon, as a multiple of the mean of all sound ones. */
	private static final double LARGEST_LOAD = 2;

	/** Connections a second to an endpoint for each daemon that is cut off. */
	private static final double TRIALS_PER_SECOND = 2;

	/** Trials of an endpoint above the mean that chance explains. */
	private static final int TRIALS_BY_CHANCE = 12;

	private static List<Daemon> choose(CutOffSimulation simulation, String which) {
		List<Daemon> ofFirst = simulation.daemonsOf("dc0");
		return switch (which) {
			case "one" -> ofFirst.subList(0, 1);
			case "most" -> ofFirst.subList(0, Math.max(1, (2 * ofFirst.size() + 2) / 3));
			case "all" -> ofFirst;
			case "third" -> everyThird(simulation.daemons());
			default -> throw new IllegalArgumentException(which);
		};
	}

	private static List<Daemon> everyThird(List<Daemon> daemons) {
		List<Daemon> chosen = new ArrayList<>();
		for (int index = 0; index < daemons.size(); index += 3) {
			chosen.add(daemons.get(index));
		}
		return chosen;
	}

	private static void play(int daemonCount, int dataCentres, String which, boolean hanging, long seed) {
		CutOffSimulation simulation = new CutOffSimulation(daemonCount, dataCentres, hanging, seed);
		simulation.runFor(15_000);
		List<Daemon> cutOff = choose(simulation, which);
		cutOff.forEach((daemon) -> daemon.setCutOff(true));
		simulation.runFor(CONTACT_MS);
		simulation.startCounting();
		simulation.runFor(CUT_MS - CONTACT_MS);
		checkDuringCut(simulation, cutOff);
		cutOff.forEach((daemon) -> daemon.setCutOff(false));
		simulation.startCounting();
		simulation.runFor(CONTACT_MS);
		checkTrials(simulation, cutOff.size());
		assertThat(cutOff).noneMatch(Daemon::isLost);
		assertThat(simulation.daemons()).allMatch(Daemon::isInRotation);
		simulation.startCounting();
		simulation.runFor(CONTACT_MS);
		assertThat(simulation.daemons()).allSatisfy((daemon) -> assertThat(daemon.relayed()).isZero());
	}

	private static void checkDuringCut(CutOffSimulation simulation, List<Daemon> cutOff) {
		int tries = cutOff.stream().mapToInt(Daemon::firstTries).sum();
		int served = cutOff.stream().mapToInt(Daemon::served).sum();
		assertThat((tries - served) * TRIES_PER_FAILURE).as("%s of %s served", served, tries)
			.isLessThanOrEqualTo(tries);
		List<Daemon> sound = simulation.daemons().stream().filter((daemon) -> !daemon.isCutOff()).toList();
		double mean = sound.stream().mapToInt(Daemon::handled).average().orElseThrow();
		int largest = sound.stream().mapToInt(Daemon::handled).max().orElseThrow();
		assertThat((double) largest).as("largest load, mean %s", mean).isLessThanOrEqualTo(LARGEST_LOAD * mean);
		checkTrials(simulation, cutOff.size());
	}

	private static void checkTrials(CutOffSimulation simulation, int cutOffCount) {
		double mean = TRIALS_PER_SECOND * cutOffCount / CutOffSimulation.ENDPOINTS;
		assertThat((double) simulation.mostTrialsOfAnEndpointInASecond()).as("mean %s", mean)
			.isLessThanOrEqualTo(2 * mean + TRIALS_BY_CHANCE);
	}

	@ParameterizedTest
	@CsvSource({ "7, 3, one, false", "7, 3, most, false", "7, 3, all, false", "7, 3, all, true", "95, 5, one, true",
			"95, 5, most, false", "95, 5, most, true", "95, 5, all, false", "95, 5, third, true", "390, 7, one, false",
			"390, 7, most, true", "390, 7, all, false", "390, 7, all, true", "390, 7, third, false",
			"390, 7, third, true" })
	void callersOfDaemonsThatAreCutOffAreServedAndNobodyIsFlooded(int daemonCount, int dataCentres, String which,
			boolean hanging) {
		play(daemonCount, dataCentres, which, hanging, 1);
	}

	@ParameterizedTest
	@ValueSource(strings = { "one", "most", "all", "third" })
	@Tag("long")
	void callersOfDaemonsThatAreCutOffAreServedAndNobodyIsFloodedWithManySeeds(String which) {
		for (long seed = 1; seed <= 50; seed++) {
			play(7, 3, which, seed % 2 == 0, seed);
			play(95, 5, which, seed % 2 == 0, seed);
			if (seed <= 10) {
				play(390, 7, which, seed % 2 == 0, seed);
			}
		}
	}

}
