package org.comfreyslip.entry.layers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.Samples;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.peer.PeerSchedule;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays the choices of many daemons that know each other's loads only with a delay.
 * Guards against links and engines that all daemons take at once because each believes
 * that they are free.
 */
class DelayedLoadsTests {

	private static final int MANY_DAEMONS = 78;

	private static final int FEW_DAEMONS = 8;

	private static final List<String> DATA_CENTRES = List.of("a", "b", "c");

	/** Streams that all daemons together start in a second, by number of daemons. */
	private static final Map<Integer, Integer> STREAMS_PER_SECOND = Map.of(MANY_DAEMONS, 123, FEW_DAEMONS, 45);

	private static final int TOKENS = 932;

	/** Duration of a stream, in ms. */
	private static final long STREAM_MS = 2_500;

	private static final long PLAYED_MS = 20_000;

	private EngineSpec engine = Samples.manyEngines();

	private final EngineSlowdowns slowdowns = new EngineSlowdowns();

	private final SplittableRandom random = new SplittableRandom(18);

	private final List<Daemon> daemons = new ArrayList<>();

	/** Streams that all daemons have started on each link, by link key. */
	private final Map<String, Integer> streamsOnLink = new HashMap<>();

	/** Streams that are open at each engine as their first one. */
	private final Map<String, Integer> openAtFirst = new HashMap<>();

	private int mostOpenAtFirst;

	private final Deque<Runnable> ends = new ArrayDeque<>();

	private final Deque<Long> endTimesMs = new ArrayDeque<>();

	private int refused;

	private void play(List<Endpoint> engines, int daemonCount) {
		for (int index = 0; index < daemonCount; index++) {
			this.daemons.add(new Daemon(DATA_CENTRES.get(index % DATA_CENTRES.size())));
		}
		for (long nowMs = 0; nowMs < PLAYED_MS; nowMs++) {
			while (!this.endTimesMs.isEmpty() && this.endTimesMs.peek() <= nowMs) {
				this.endTimesMs.remove();
				this.ends.remove().run();
			}
			for (int index = 0; index < daemonCount; index++) {
				this.daemons.get(index).exchangeLoads(nowMs + index * 31);
			}
			if (this.random.nextInt(1_000) < STREAMS_PER_SECOND.get(daemonCount)) {
				this.daemons.get(this.random.nextInt(daemonCount)).startStream(engines, nowMs);
			}
		}
	}

	private double mostTransferMsPerMs() {
		int most = this.streamsOnLink.values().stream().mapToInt(Integer::intValue).max().orElse(0);
		return most * TOKENS * this.engine.linkMsPerToken() / PLAYED_MS;
	}

	@Test
	void noEngineIsGivenMoreStreamsThanItHasSlotsWhileEachDataCentreHoldsTheModel() {
		play(Samples.place(this.engine, Samples.manyEmptyEngines()), MANY_DAEMONS);
		assertThat(this.refused).isZero();
		assertThat(this.mostOpenAtFirst).isLessThanOrEqualTo(this.engine.slots());
		assertThat(mostTransferMsPerMs()).isLessThan(1);
	}

	// Returns engines of which no data centre holds the whole model.
	private List<Endpoint> enginesWithHalvesOfTheModel() {
		return Samples.place(this.engine, Samples.manyEmptyEngines())
			.stream()
			.filter((endpoint) -> endpoint.layers()
				.filter((range) -> (endpoint.dataCentre().equals("b")) ? range.from() < 40 : range.to() > 30)
				.isPresent())
			.toList();
	}

	@Test
	void noLinkIsGivenMoreThanItTransfersWhereNoDataCentreHoldsTheModel() {
		play(enginesWithHalvesOfTheModel(), MANY_DAEMONS);
		assertThat(mostTransferMsPerMs()).isPositive().isLessThan(1);
	}

	@Test
	void noLinkIsGivenMoreThanItTransfersWhereTheEvenPartOfADaemonIsLessThanOneStream() {
		List<Endpoint> engines = enginesWithHalvesOfTheModel();
		this.engine = Samples.manyEnginesOnSlowLinks();
		play(engines, MANY_DAEMONS);
		assertThat(mostTransferMsPerMs()).isBetween(0.3, 1.0);
	}

	// Guards against refusals of what the engines of other data centres could serve.
	@Test
	void theStreamsOfADataCentreThatLostItsPathAreServedByTheOthers() {
		this.engine = Samples.engine();
		List<Endpoint> engines = Samples.place(this.engine, Samples.fewEmptyEngines())
			.stream()
			.filter((endpoint) -> !(endpoint.dataCentre().equals("c") && endpoint.layers().get().contains(40)))
			.toList();
		play(engines, FEW_DAEMONS);
		assertThat(this.refused).isZero();
		assertThat(this.mostOpenAtFirst).isLessThanOrEqualTo(this.engine.slots());
	}

	private final class Daemon {

		private final String dataCentre;

		private final LayerLoads loads = new LayerLoads(DelayedLoadsTests.this.random.split());

		/**
		 * Loads that the others have received, by whether they are in this data centre.
		 */
		private final Map<Boolean, Map<String, LayerLoads.Load>> sent = new HashMap<>(
				Map.of(true, Map.of(), false, Map.of()));

		Daemon(String dataCentre) {
			this.dataCentre = dataCentre;
		}

		void exchangeLoads(long nowMs) {
			int daemonCount = DelayedLoadsTests.this.daemons.size();
			if (nowMs % PeerSchedule.remoteIntervalMs(daemonCount - 1) == 0) {
				this.sent.put(false, Map.copyOf(this.loads.ownLoads()));
				this.loads.markReported();
			}
			if (nowMs % PeerSchedule.localIntervalMs(daemonCount / DATA_CENTRES.size()) != 0) {
				return;
			}
			this.sent.put(true, Map.copyOf(this.loads.ownLoads()));
			Map<String, LayerLoads.Load> sum = new HashMap<>();
			for (Daemon other : DelayedLoadsTests.this.daemons) {
				if (other != this) {
					other.sent.get(other.dataCentre.equals(this.dataCentre))
						.forEach((id, load) -> sum.merge(id, load, LayerLoads.Load::plus));
				}
			}
			this.loads.setPeerLoads(new LayerLoads.PeerLoads(sum, daemonCount - 1, 0),
					TimeUnit.MILLISECONDS.toNanos(nowMs));
		}

		void startStream(List<Endpoint> engines, long nowMs) {
			PathFinder finder = new PathFinder(DelayedLoadsTests.this.engine, this.loads,
					DelayedLoadsTests.this.slowdowns);
			Optional<LayerPath> found = finder.find(engines, this.dataCentre, TOKENS, (first) -> true,
					TimeUnit.MILLISECONDS.toNanos(nowMs));
			if (found.isEmpty()) {
				DelayedLoadsTests.this.refused++;
				return;
			}
			LayerPath path = found.get();
			this.loads.reserve(path, TOKENS);
			path.crossedLinks().forEach((link) -> DelayedLoadsTests.this.streamsOnLink.merge(link, 1, Integer::sum));
			String first = path.firstEndpoint().id();
			int open = DelayedLoadsTests.this.openAtFirst.merge(first, 1, Integer::sum);
			DelayedLoadsTests.this.mostOpenAtFirst = Math.max(DelayedLoadsTests.this.mostOpenAtFirst, open);
			DelayedLoadsTests.this.endTimesMs.add(nowMs + STREAM_MS);
			DelayedLoadsTests.this.ends.add(() -> {
				this.loads.release(path, TOKENS);
				DelayedLoadsTests.this.openAtFirst.merge(first, -1, Integer::sum);
			});
		}

	}

}
