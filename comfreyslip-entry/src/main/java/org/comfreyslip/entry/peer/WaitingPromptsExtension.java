package org.comfreyslip.entry.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

import org.comfreyslip.entry.prompt.WaitingPrompts;
import org.comfreyslip.entry.prompt.WaitingPrompts.EngineFigures;
import org.comfreyslip.entry.prompt.WaitingPrompts.Figures;

/**
 * Block with this daemon's prompts at engines, sent only while long prompts were seen
 * lately: format version, and for each engine a hash of its identity, the mean delay by
 * long prompts in thousandths of a ms, and the rate of the others in hundredths per
 * second.
 */
public final class WaitingPromptsExtension implements PeerExtension {

	private static final int FORMAT_VERSION = 1;

	/** Largest number of engines in a block, which then has 385 bytes. */
	private static final int MAX_ENGINES = 48;

	private static final int BYTES_PER_ENGINE = 8;

	private static final double DELAY_UNITS_PER_MS = 1_000;

	private static final double RATE_UNITS = 100;

	private static final int MAX_UNITS = 0xFFFF;

	private final WaitingPrompts prompts;

	private final LongSupplier steadyNanos;

	/**
	 * Creates the block.
	 * @param prompts the prompts at the engines
	 * @param steadyNanos clock of the prompts, in ns
	 */
	public WaitingPromptsExtension(WaitingPrompts prompts, LongSupplier steadyNanos) {
		this.prompts = prompts;
		this.steadyNanos = steadyNanos;
	}

	@Override
	public int tag() {
		return PeerExtensionTag.WAITING_PROMPTS;
	}

	@Override
	public Optional<byte[]> content(long nowNanos) {
		long now = this.steadyNanos.getAsLong();
		this.prompts.update(now);
		if (!this.prompts.isActive(now)) {
			return Optional.empty();
		}
		List<EngineFigures> figures = this.prompts.ownFigures(now);
		return (figures.isEmpty()) ? Optional.empty() : Optional.of(encode(figures));
	}

	@Override
	public void onContent(String sender, String dataCentre, Optional<byte[]> content, long nowNanos) {
		this.prompts.onReport(sender, content.map(WaitingPromptsExtension::decode).orElse(List.of()),
				this.steadyNanos.getAsLong());
	}

	// Short prompts need to know the engines with long ones, and long prompts those with
	// many others: the engines with the largest shares of either come first.
	static byte[] encode(List<EngineFigures> engines) {
		double delayMs = Math.max(Double.MIN_NORMAL,
				engines.stream().mapToDouble((one) -> one.figures().delayMs()).sum());
		double rate = Math.max(Double.MIN_NORMAL,
				engines.stream().mapToDouble((one) -> one.figures().promptsPerSecond()).sum());
		List<EngineFigures> largest = engines.stream()
			.sorted(Comparator.comparingDouble(
					(one) -> -Math.max(one.figures().delayMs() / delayMs, one.figures().promptsPerSecond() / rate)))
			.limit(MAX_ENGINES)
			.toList();
		ByteArrayOutputStream bytes = new ByteArrayOutputStream(1 + BYTES_PER_ENGINE * largest.size());
		try (DataOutputStream out = new DataOutputStream(bytes)) {
			out.writeByte(FORMAT_VERSION);
			for (EngineFigures one : largest) {
				out.writeInt(one.key());
				writeUnits(out, DELAY_UNITS_PER_MS * one.figures().delayMs());
				writeUnits(out, RATE_UNITS * one.figures().promptsPerSecond());
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot encode the prompts at engines", ex);
		}
		return bytes.toByteArray();
	}

	private static void writeUnits(DataOutputStream out, double units) throws IOException {
		out.writeShort((int) Math.min(MAX_UNITS, Math.round(units)));
	}

	static List<EngineFigures> decode(byte[] content) {
		List<EngineFigures> engines = new ArrayList<>();
		try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(content))) {
			if (in.readByte() != FORMAT_VERSION) {
				return List.of();
			}
			while (in.available() > 0 && engines.size() < MAX_ENGINES) {
				engines.add(new EngineFigures(in.readInt(),
						new Figures(in.readUnsignedShort() / DELAY_UNITS_PER_MS, in.readUnsignedShort() / RATE_UNITS)));
			}
		}
		catch (IOException ex) {
			// Any process may send to the port, so bytes that are not a block are no
			// error of this daemon.
			return List.of();
		}
		return engines;
	}

}
