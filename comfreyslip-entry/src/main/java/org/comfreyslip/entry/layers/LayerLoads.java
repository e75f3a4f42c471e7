package org.comfreyslip.entry.layers;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

/**
 * KV cache memory and streams that are in use at each endpoint and on the links between
 * data centres, by the streams of this daemon and by those that other daemons reported.
 */
public final class LayerLoads {

	/**
	 * Factor on the even part of a daemon, since the daemons seldom use up their parts at
	 * the same time.
	 */
	private static final double PART_FACTOR = 2;

	private final Map<String, Load> ownLoads = new HashMap<>();

	/** Own loads that were added since the daemons of all data centres were told. */
	private final Map<String, Load> unreportedLoads = new HashMap<>();

	private final RandomGenerator random;

	/**
	 * Random number from 0 to 1, drawn once between two reports. It is the same for all
	 * engines and links, so that a path over many of them is as likely as its scarcest
	 * one.
	 */
	private double draw;

	private PeerLoads peerLoads = PeerLoads.NONE;

	/** Steady time in ns of the oldest message that the peers' loads are taken from. */
	private long peerLoadsSinceNanos;

	/**
	 * Creates loads without streams.
	 * @param random source of random numbers, which must differ between daemons
	 */
	public LayerLoads(RandomGenerator random) {
		this.random = random;
		this.draw = random.nextDouble();
	}

	/**
	 * Reserves KV cache memory on all stages of a path, and capacity on the links between
	 * their data centres.
	 * @param path the path
	 * @param tokens the tokens that the stream will hold at its end, prompt and response
	 */
	public void reserve(LayerPath path, int tokens) {
		addPath(path, tokens, 1);
	}

	/**
	 * Releases what {@link #reserve} reserved.
	 * @param path the path
	 * @param tokens the number of tokens that was reserved
	 */
	public void release(LayerPath path, int tokens) {
		addPath(path, -tokens, -1);
	}

	private void addPath(LayerPath path, int tokens, int streamCount) {
		for (LayerPath.Stage stage : path.stages()) {
			boolean isFirst = stage == path.stages().get(0);
			Load change = new Load((long) tokens * stage.layers().size(), streamCount, (isFirst) ? streamCount : 0);
			addOwnLoad(stage.endpoint().id(), change);
		}
		for (String link : path.crossedLinks()) {
			addOwnLoad(link, new Load(tokens, streamCount, 0));
		}
	}

	private void addOwnLoad(String id, Load change) {
		if (change.streamCount() > 0) {
			this.unreportedLoads.merge(id, change, Load::plus);
		}
		Load sum = this.ownLoads.getOrDefault(id, Load.NONE).plus(change);
		if (sum.streamCount() <= 0) {
			this.ownLoads.remove(id);
		}
		else {
			this.ownLoads.put(id, sum);
		}
	}

	/**
	 * Returns the key of the link between two data centres, the same for both directions.
	 * Keys are also sent to other daemons.
	 * @param dataCentre a data centre
	 * @param otherDataCentre another data centre
	 * @return the key under which its load is kept
	 */
	static String linkKey(String dataCentre, String otherDataCentre) {
		return (dataCentre.compareTo(otherDataCentre) < 0) ? "pipe:" + dataCentre + "|" + otherDataCentre
				: "pipe:" + otherDataCentre + "|" + dataCentre;
	}

	/**
	 * Replaces the loads that other daemons reported.
	 * @param loads the loads of the other daemons
	 * @param nowNanos the current steady time in ns
	 */
	public void setPeerLoads(PeerLoads loads, long nowNanos) {
		this.peerLoads = loads;
		this.peerLoadsSinceNanos = nowNanos - loads.oldestAgeNanos();
	}

	/**
	 * Returns the age of the oldest message that the peers' loads are taken from.
	 * @param nowNanos the current steady time in ns
	 * @return the age in ns; 0 if no peer's loads are known
	 */
	public long peerLoadsAgeNanos(long nowNanos) {
		return (this.peerLoads.daemonCount() > 0) ? nowNanos - this.peerLoadsSinceNanos : 0;
	}

	/**
	 * Returns how many other daemons' loads are known.
	 * @return the number of daemons
	 */
	public int peerCount() {
		return this.peerLoads.daemonCount();
	}

	/**
	 * Returns the loads of this daemon's own streams.
	 * @return the loads by endpoint identity or link key; entries without streams are
	 * left out
	 */
	public Map<String, Load> ownLoads() {
		return this.ownLoads;
	}

	/**
	 * Returns the total load of an endpoint or link.
	 * @param id identity of the endpoint, or key of the link
	 * @return the load by the streams of all daemons; {@link Load#NONE} if there is none
	 */
	public Load totalLoad(String id) {
		return this.ownLoads.getOrDefault(id, Load.NONE).plus(this.peerLoads.loads().getOrDefault(id, Load.NONE));
	}

	/**
	 * Records that the own loads have been sent to the daemons of all data centres.
	 */
	public void markReported() {
		this.unreportedLoads.clear();
		this.draw = this.random.nextDouble();
	}

	/**
	 * Returns how much of an engine or link this daemon may still take where the loads of
	 * the other daemons are known only with a long delay. Until it has told the others,
	 * it takes no more than about an even part of what was free when it told them last,
	 * so that together they do not take much more than there is. Where the part is less
	 * than one stream, the daemon takes a whole stream with the probability that the part
	 * is of it.
	 * @param capacity what the engine or link can carry
	 * @param measure the component of the loads that the capacity limits
	 * @param id identity of the endpoint, or key of the link
	 * @param need what one stream takes, in the unit of the capacity
	 * @return the rest of this daemon's part, in the unit of the capacity; may be
	 * negative
	 */
	double ownPartLeft(double capacity, ToLongFunction<Load> measure, String id, double need) {
		double free = capacity - measure.applyAsLong(totalLoad(id));
		long unreported = measure.applyAsLong(this.unreportedLoads.getOrDefault(id, Load.NONE));
		double part = PART_FACTOR * (free + unreported) / (1 + this.peerLoads.daemonCount());
		if (unreported > 0 || part >= need) {
			return Math.min(free, part - unreported);
		}
		return (this.draw * need < part) ? Math.min(free, need) : 0;
	}

	/**
	 * Loads that other daemons reported.
	 *
	 * @param loads the sum of their loads by endpoint identity or link key
	 * @param daemonCount number of daemons in the sum
	 * @param oldestAgeNanos age of the oldest message in the sum, in ns; 0 if there is
	 * none
	 */
	public record PeerLoads(Map<String, Load> loads, int daemonCount, long oldestAgeNanos) {

		/** No loads of other daemons. */
		public static final PeerLoads NONE = new PeerLoads(Map.of(), 0, 0);

	}

	/**
	 * Load of one endpoint or link.
	 *
	 * @param tokenLayers KV cache in tokens times layers; on a link, tokens
	 * @param streamCount number of streams that run through it
	 * @param firstStageCount number of streams whose first stage it is; 0 on a link
	 */
	public record Load(long tokenLayers, int streamCount, int firstStageCount) {

		/** No load. */
		public static final Load NONE = new Load(0, 0, 0);

		/**
		 * Adds a load.
		 * @param other the other load
		 * @return the sum
		 */
		public Load plus(Load other) {
			return new Load(this.tokenLayers + other.tokenLayers, this.streamCount + other.streamCount,
					this.firstStageCount + other.firstStageCount);
		}

	}

}
