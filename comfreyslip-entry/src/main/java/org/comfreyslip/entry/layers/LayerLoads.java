package org.comfreyslip.entry.layers;

import java.util.HashMap;
import java.util.Map;

/**
 * KV cache memory and streams that are taken at each endpoint, by the streams of this
 * daemon and by those that other daemons told it about.
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
			this.own.merge(part.endpoint().id(), change, Load::plus);
			if (this.own.get(part.endpoint().id()).streams() <= 0) {
				this.own.remove(part.endpoint().id());
			}
		}
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
