package org.comfreyslip.entry.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.comfreyslip.entry.blame.CrashNotice;
import org.comfreyslip.entry.blame.CrashReport;
import org.comfreyslip.entry.blame.SuspectRequest;

/**
 * Encodes notices of crashes as datagrams. Each trait is written once, since the requests
 * of a crash share most of them.
 */
public final class CrashNoticeCodec {

	/** Version byte of the datagram, different from those of the other messages. */
	private static final int FORMAT_VERSION = 3;

	/**
	 * Size of the encoded requests from which on the remaining ones are left out, in
	 * bytes; together with the rest below the largest datagram.
	 */
	private static final int MAX_SUSPECT_BYTES = 40_960;

	private CrashNoticeCodec() {
	}

	/**
	 * Encodes a notice.
	 * @param notice the notice
	 * @return the content of the datagram
	 */
	public static byte[] encode(CrashNotice notice) {
		TraitTable table = new TraitTable();
		ByteArrayOutputStream content = new ByteArrayOutputStream(512);
		try (DataOutputStream out = new DataOutputStream(content)) {
			for (CrashReport report : notice.reports()) {
				out.writeBoolean(true);
				out.writeUTF(report.endpoint());
				out.writeLong(report.ageNanos());
				for (SuspectRequest suspect : report.suspects()) {
					if (out.size() + table.size() < MAX_SUSPECT_BYTES) {
						out.writeBoolean(true);
						out.writeUTF(suspect.id());
						writeTraits(out, suspect.traits(), table);
					}
				}
				out.writeBoolean(false);
			}
			out.writeBoolean(false);
			out.writeShort(notice.answered().size());
			for (Map.Entry<String, Long> entry : notice.answered().entrySet()) {
				out.writeShort(table.indexOf(entry.getKey()));
				out.writeLong(entry.getValue());
			}
			out.writeShort(notice.convictions().size());
			for (CrashNotice.KnownCause cause : notice.convictions()) {
				writeTraits(out, cause.traits(), table);
				out.writeLong(cause.ageNanos());
				out.writeLong(cause.periodNanos());
			}
			return table.prepend(content.toByteArray());
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot encode a notice of crashes", ex);
		}
	}

	private static void writeTraits(DataOutputStream out, Iterable<String> traits, TraitTable table)
			throws IOException {
		List<Integer> indexes = new ArrayList<>();
		traits.forEach((trait) -> indexes.add(table.indexOf(trait)));
		out.writeByte(indexes.size());
		for (int index : indexes) {
			out.writeShort(index);
		}
	}

	/**
	 * Decodes a datagram.
	 * @param datagram the content of the datagram
	 * @return the notice; empty if the bytes are not a notice of this format version
	 */
	public static Optional<CrashNotice> decode(byte[] datagram) {
		try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(datagram))) {
			if (in.readByte() != FORMAT_VERSION) {
				return Optional.empty();
			}
			List<String> table = new ArrayList<>();
			for (int left = in.readUnsignedShort(); left > 0; left--) {
				table.add(in.readUTF());
			}
			List<CrashReport> reports = new ArrayList<>();
			while (in.readBoolean()) {
				reports.add(readReport(in, table));
			}
			Map<String, Long> answered = new HashMap<>();
			for (int left = in.readUnsignedShort(); left > 0; left--) {
				answered.put(table.get(in.readUnsignedShort()), in.readLong());
			}
			List<CrashNotice.KnownCause> causes = new ArrayList<>();
			for (int left = in.readUnsignedShort(); left > 0; left--) {
				causes.add(new CrashNotice.KnownCause(readTraits(in, table), in.readLong(), in.readLong()));
			}
			return Optional.of(new CrashNotice(reports, answered, causes));
		}
		catch (IOException | IndexOutOfBoundsException ex) {
			// Any process may send to the port, so bytes that are not a notice are no
			// error of this daemon.
			return Optional.empty();
		}
	}

	private static CrashReport readReport(DataInputStream in, List<String> table) throws IOException {
		String endpoint = in.readUTF();
		long ageNanos = in.readLong();
		List<SuspectRequest> suspects = new ArrayList<>();
		while (in.readBoolean()) {
			suspects.add(new SuspectRequest(in.readUTF(), Set.copyOf(readTraits(in, table))));
		}
		return new CrashReport(endpoint, ageNanos, suspects);
	}

	private static List<String> readTraits(DataInputStream in, List<String> table) throws IOException {
		List<String> traits = new ArrayList<>();
		for (int left = in.readUnsignedByte(); left > 0; left--) {
			traits.add(table.get(in.readUnsignedShort()));
		}
		return traits;
	}

	/** The different traits of a notice, in the order of their first use. */
	private static final class TraitTable {

		private final Map<String, Integer> indexes = new HashMap<>();

		private final List<String> traits = new ArrayList<>();

		private int size;

		// Returns the encoded size, in bytes.
		int size() {
			return this.size;
		}

		int indexOf(String trait) {
			return this.indexes.computeIfAbsent(trait, (key) -> {
				this.traits.add(key);
				this.size += Short.BYTES + key.getBytes(StandardCharsets.UTF_8).length;
				return this.traits.size() - 1;
			});
		}

		// Returns the datagram with the table before the content, which refers to it.
		byte[] prepend(byte[] content) throws IOException {
			ByteArrayOutputStream bytes = new ByteArrayOutputStream(512 + content.length);
			try (DataOutputStream out = new DataOutputStream(bytes)) {
				out.writeByte(FORMAT_VERSION);
				out.writeShort(this.traits.size());
				for (String trait : this.traits) {
					out.writeUTF(trait);
				}
				out.write(content);
			}
			return bytes.toByteArray();
		}

	}

}
