package org.comfreyslip.standins.engine;

import java.nio.ByteBuffer;
import java.util.TreeMap;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.routing.topology.LayerRange;

/**
 * KV cache of one stream: per layer a 64-bit state and the number of positions in it. Not
 * thread-safe.
 */
final class KvState {

	private static final int LAYER_BYTES = 2 * Integer.BYTES + Long.BYTES;

	private final TreeMap<Integer, Layer> layers = new TreeMap<>();

	// Returns the positions that all layers of a range hold.
	int positions(LayerRange range) {
		int least = Integer.MAX_VALUE;
		for (int layer = range.first(); layer < range.end(); layer++) {
			least = Math.min(least, layer(layer).positions());
		}
		return least;
	}

	// Returns the most positions that a layer holds.
	int size() {
		return this.layers.values().stream().mapToInt(Layer::positions).max().orElse(0);
	}

	void clear() {
		this.layers.clear();
	}

	void clear(LayerRange range) {
		this.layers.subMap(range.first(), range.end()).clear();
	}

	// Runs one position through a range and returns its value after the last layer.
	long pass(LayerRange range, int position, long input) {
		long value = input;
		for (int number = range.first(); number < range.end(); number++) {
			long state = layer(number).state();
			this.layers.put(number, new Layer(ReferenceModel.nextState(number, position, value, state), position + 1));
			value = ReferenceModel.value(number, position, value, state);
		}
		return value;
	}

	byte[] write() {
		ByteBuffer buffer = ByteBuffer.allocate(this.layers.size() * LAYER_BYTES);
		this.layers.forEach((number, layer) -> buffer.putInt(number).putInt(layer.positions()).putLong(layer.state()));
		return buffer.array();
	}

	// Takes over the layers of a range; layers outside it are left out.
	void read(byte[] data, LayerRange range) {
		if (data.length % LAYER_BYTES != 0) {
			throw new CodedException(ErrorCode.BAD_REQUEST, "not a KV cache: " + data.length + " bytes");
		}
		clear(range);
		ByteBuffer buffer = ByteBuffer.wrap(data);
		while (buffer.hasRemaining()) {
			int number = buffer.getInt();
			int positions = buffer.getInt();
			Layer layer = new Layer(buffer.getLong(), positions);
			if (number >= range.first() && number < range.end()) {
				this.layers.put(number, layer);
			}
		}
	}

	private Layer layer(int number) {
		return this.layers.getOrDefault(number, Layer.EMPTY);
	}

	private record Layer(long state, int positions) {

		static final Layer EMPTY = new Layer(0, 0);

	}

}
