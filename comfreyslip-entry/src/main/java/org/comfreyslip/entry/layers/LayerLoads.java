package org.comfreyslip.entry.layers;

import java.util.HashMap;
import java.util.Map;

/**
 * KV cache memory and streams that are taken at each endpoint and on the pipes between
 * data centres, by the streams of this daemon and by those that other daemons told it
 * about.
 */
public final class LayerLoads {

	private final Map<String, Load> own = new HashMap<>();

	private Map<String, Load> peers = Map.of();

	/**
	 * Reserves memory on all parts of a path.
	 * @param path the path
	 * @param tokens the tokens that the stream will hold, prompt and answer
	 */
	public void reserve(LayerPath path, int tokens) {
		add(path, tokens, 1);
	}

	/**
	 * Releases what {@link #reserve} reserved.
	 * @param path the path
	 * @param tokens the tokens that were reserved
	 */
	public void release(LayerPath path, int tokens) {
		add(path, -tokens, -1);
	}

	private void add(LayerPath path, int tokens, int streams) {
		for (LayerPath.Part part : path.parts()) {
			boolean first = part == path.parts().get(0);
			Load change = new Load((long) tokens * part.layers().size(), streams, (first) ? streams : 0);
			addOwn(part.endpoint().id(), change);
		}
		for (int index = 1; index < path.parts().size(); index++) {
			String from = path.parts().get(index - 1).endpoint().dataCentre();
			String to = path.parts().get(index).endpoint().dataCentre();
			if (!from.equals(to)) {
				addOwn(pipe(from, to), new Load(tokens, streams, 0));
			}
		}
	}

	private void addOwn(String id, Load change) {
		Load sum = this.own.getOrDefault(id, Load.NONE).plus(change);
		if (sum.streams() <= 0) {
			this.own.remove(id);
		}
		else {
			this.own.put(id, sum);
		}
	}

	/**
	 * Names the pipe between two data centres.
	 * @param one a data centre
	 * @param other another data centre
	 * @return the name under which its load is kept
	 */
	static String pipe(String one, String other) {
		return (one.compareTo(other) < 0) ? "pipe:" + one + "|" + other : "pipe:" + other + "|" + one;
	}

	/**
	 * Replaces what other daemons hold.
	 * @param loads the sum of the other daemons' loads by endpoint
	 */
	public void setPeers(Map<String, Load> loads) {
		this.peers = loads;
	}

	/**
	 * Returns this daemon's own loads.
	 * @return the loads by endpoint
	 */
	public Map<String, Load> own() {
		return this.own;
	}

	/**
	 * Returns the load of an endpoint.
	 * @param id the endpoint
	 * @return the load of all daemons
	 */
	public Load of(String id) {
		return this.own.getOrDefault(id, Load.NONE).plus(this.peers.getOrDefault(id, Load.NONE));
	}

	/**
	 * Load of one endpoint.
	 *
	 * @param tokenLayers KV cache in tokens times layers
	 * @param streams streams that run through it
	 * @param firsts streams of which it is the first part
	 */
	public record Load(long tokenLayers, int streams, int firsts) {

		/** No load. */
		public static final Load NONE = new Load(0, 0, 0);

		/**
		 * Adds a load.
		 * @param other the other load
		 * @return the sum
		 */
		public Load plus(Load other) {
			return new Load(this.tokenLayers + other.tokenLayers, this.streams + other.streams,
					this.firsts + other.firsts);
		}

	}

}
