package org.comfreyslip.entry.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

import org.comfreyslip.entry.fleet.PlainLoads;
import org.comfreyslip.entry.fleet.PlainLoads.Figures;

/**
 * Block with this daemon's requests at the endpoints of plain services: format version,
 * and for each endpoint its identity, sends, completed requests, their mean time in ms,
 * failures and ended requests. Apart from the mean time, the figures are in sixteenths.
 */
public final class PlainLoadsExtension implements PeerExtension {

	private static final int FORMAT_VERSION = 1;

	/** Largest number of endpoints in a block; those with the most requests count. */
	private static final int MAX_ENDPOINTS = 16;

	/** Largest size of a block, in bytes. */
	private static final int MAX_BYTES = 600;

	private static final double UNITS = 16;

	private static final int MAX_UNITS = 0xFFFF;

	/** Longest mean time that is accepted, in ms; longer than every deadline. */
	private static final double MAX_TIME_MS = 120_000;

	private final PlainLoads loads;

	private final LongSupplier steadyNanos;

	/**
	 * Creates the block.
	 * @param loads the requests at the endpoints
	 * @param steadyNanos clock of the requests, in ns
	 */
	public PlainLoadsExtension(PlainLoads loads, LongSupplier steadyNanos) {
		this.loads = loads;
		this.steadyNanos = steadyNanos;
	}

	@Override
	public int tag() {
		return PeerExtensionTag.PLAIN_LOADS;
	}

	@Override
	public Optional<byte[]> content(long nowNanos) {
		long now = this.steadyNanos.getAsLong();
		this.loads.update(now);
		Map<String, Figures> figures = this.loads.ownFigures(now);
		return (figures.isEmpty()) ? Optional.empty() : Optional.of(encode(figures));
	}

	@Override
	public void onContent(String sender, String dataCentre, Optional<byte[]> content, long nowNanos) {
		this.loads.onReport(sender, dataCentre, content.map(PlainLoadsExtension::decode).orElse(Map.of()),
				this.steadyNanos.getAsLong());
	}

	static byte[] encode(Map<String, Figures> figures) {
		List<Map.Entry<String, Figures>> largest = figures.entrySet()
			.stream()
			.sorted(Comparator.comparingDouble((entry) -> -entry.getValue().sends()))
			.limit(MAX_ENDPOINTS)
			.toList();
		ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
		try (DataOutputStream out = new DataOutputStream(bytes)) {
			out.writeByte(FORMAT_VERSION);
			for (Map.Entry<String, Figures> entry : largest) {
				if (bytes.size() + entry.getKey().length() * 3 + 16 > MAX_BYTES) {
					continue;
				}
				Figures one = entry.getValue();
				out.writeUTF(entry.getKey());
				writeUnits(out, one.sends());
				writeUnits(out, one.done());
				out.writeFloat((one.done() > 0) ? (float) (one.doneMs() / one.done()) : 0);
				writeUnits(out, one.failed());
				writeUnits(out, one.tried());
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot encode the requests at plain endpoints", ex);
		}
		return bytes.toByteArray();
	}

	private static void writeUnits(DataOutputStream out, double value) throws IOException {
		out.writeShort((int) Math.min(MAX_UNITS, Math.round(value * UNITS)));
	}

	static Map<String, Figures> decode(byte[] content) {
		Map<String, Figures> figures = new HashMap<>();
		try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(content))) {
			if (in.readByte() != FORMAT_VERSION) {
				return Map.of();
			}
			while (in.available() > 0 && figures.size() < MAX_ENDPOINTS) {
				String id = in.readUTF();
				double sends = in.readUnsignedShort() / UNITS;
				double done = in.readUnsignedShort() / UNITS;
				double meanMs = in.readFloat();
				double failed = in.readUnsignedShort() / UNITS;
				double tried = in.readUnsignedShort() / UNITS;
				if (meanMs >= 0 && meanMs <= MAX_TIME_MS && failed <= tried) {
					figures.put(id, new Figures(sends, done, done * meanMs, failed, tried));
				}
			}
		}
		catch (IOException ex) {
			// Any process may send to the port, so bytes that are not a block are no
			// error of this daemon.
			return Map.of();
		}
		return figures;
	}

}
