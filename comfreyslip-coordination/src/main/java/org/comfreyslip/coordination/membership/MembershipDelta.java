package org.comfreyslip.coordination.membership;

import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Function;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.membership.MemberReport.Phase;

/**
 * What changed at the sender since its last exchange with the receiver. Reports that
 * changed a while ago are sent as heartbeats of a few bytes; the receiver asks for the
 * reports of keys that it does not know.
 *
 * @param from name of the sender
 * @param wanted keys of heartbeats that the sender could not match and needs reports of
 * @param reports full reports of runs that are new to the receiver or changed otherwise
 * @param beats heartbeats of the other runs that changed
 * @param usage use of client accounts on the sender
 * @param notices news about endpoints
 */
public record MembershipDelta(String from, List<Integer> wanted, List<MemberReport> reports, List<MemberBeat> beats,
		List<AccountUsage> usage, List<EndpointNotice> notices) {

	private static final int VARINT_BITS = 7;

	private static final int VARINT_MORE = 0x80;

	/**
	 * Creates a difference.
	 * @param from the sender
	 * @param wanted keys of the reports that the sender needs
	 * @param reports full reports
	 * @param beats heartbeats
	 * @param usage use of accounts
	 * @param notices news about endpoints
	 */
	public MembershipDelta {
		wanted = List.copyOf(wanted);
		reports = List.copyOf(reports);
		beats = List.copyOf(beats);
		usage = List.copyOf(usage);
		notices = List.copyOf(notices);
	}

	/**
	 * Encodes the difference for a message.
	 * @return the bytes
	 */
	public byte[] encode() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		writeText(out, this.from);
		writeList(out, this.wanted, MembershipDelta::writeKey);
		writeList(out, this.reports, MembershipDelta::writeReport);
		writeList(out, this.beats, MembershipDelta::writeBeat);
		writeList(out, this.usage, MembershipDelta::writeUsage);
		writeList(out, this.notices, MembershipDelta::writeNotice);
		return out.toByteArray();
	}

	/**
	 * Decodes a difference.
	 * @param bytes the bytes that {@link #encode()} returned
	 * @return the difference
	 * @throws CodedException with {@link ErrorCode#BAD_REQUEST} if the bytes are damaged
	 */
	public static MembershipDelta decode(byte[] bytes) {
		ByteBuffer in = ByteBuffer.wrap(bytes);
		try {
			String from = readText(in);
			List<Integer> wanted = readList(in, ByteBuffer::getInt);
			return new MembershipDelta(from, wanted, readList(in, MembershipDelta::readReport),
					readList(in, MembershipDelta::readBeat),
					readList(in, (buffer) -> new AccountUsage(readText(buffer), (int) readNumber(buffer))),
					readList(in, MembershipDelta::readNotice));
		}
		catch (BufferUnderflowException | ArrayIndexOutOfBoundsException ex) {
			throw new CodedException(ErrorCode.BAD_REQUEST, "the membership difference is damaged", ex);
		}
	}

	private static void writeReport(ByteArrayOutputStream out, MemberReport report) {
		Member member = report.member();
		writeText(out, member.name());
		writeNumber(out, member.incarnation());
		writeText(out, member.address());
		writeText(out, member.dataCentre());
		writeText(out, member.region());
		writeNumber(out, report.heartbeat());
		writeNumber(out, report.phase().ordinal());
		writeNumber(out, report.configVersion());
	}

	private static MemberReport readReport(ByteBuffer in) {
		Member member = new Member(readText(in), readNumber(in), readText(in), readText(in), readText(in));
		return new MemberReport(member, readNumber(in), Phase.values()[(int) readNumber(in)], readNumber(in));
	}

	private static void writeBeat(ByteArrayOutputStream out, MemberBeat beat) {
		writeKey(out, beat.key());
		writeNumber(out, beat.heartbeat());
	}

	private static void writeKey(ByteArrayOutputStream out, int key) {
		out.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(key).array());
	}

	private static MemberBeat readBeat(ByteBuffer in) {
		return new MemberBeat(in.getInt(), readNumber(in));
	}

	private static void writeUsage(ByteArrayOutputStream out, AccountUsage usage) {
		writeText(out, usage.account());
		writeNumber(out, usage.inUse());
	}

	private static void writeNotice(ByteArrayOutputStream out, EndpointNotice notice) {
		writeText(out, notice.endpoint());
		writeNumber(out, notice.state());
		writeNumber(out, notice.sequence());
	}

	private static EndpointNotice readNotice(ByteBuffer in) {
		return new EndpointNotice(readText(in), (int) readNumber(in), readNumber(in));
	}

	private static <T> void writeList(ByteArrayOutputStream out, List<T> items,
			BiConsumer<ByteArrayOutputStream, T> writer) {
		writeNumber(out, items.size());
		items.forEach((item) -> writer.accept(out, item));
	}

	private static <T> List<T> readList(ByteBuffer in, Function<ByteBuffer, T> reader) {
		long count = readNumber(in);
		List<T> items = new ArrayList<>();
		for (long i = 0; i < count; i++) {
			items.add(reader.apply(in));
		}
		return items;
	}

	private static void writeText(ByteArrayOutputStream out, String text) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		writeNumber(out, bytes.length);
		out.writeBytes(bytes);
	}

	private static String readText(ByteBuffer in) {
		long length = readNumber(in);
		if (length < 0 || length > in.remaining()) {
			throw new BufferUnderflowException();
		}
		byte[] bytes = new byte[(int) length];
		in.get(bytes);
		return new String(bytes, StandardCharsets.UTF_8);
	}

	private static void writeNumber(ByteArrayOutputStream out, long number) {
		long rest = number;
		while (Long.compareUnsigned(rest, VARINT_MORE) >= 0) {
			out.write((int) (rest & (VARINT_MORE - 1)) | VARINT_MORE);
			rest >>>= VARINT_BITS;
		}
		out.write((int) rest);
	}

	private static long readNumber(ByteBuffer in) {
		long number = 0;
		int shift = 0;
		byte next;
		do {
			next = in.get();
			number |= (long) (next & (VARINT_MORE - 1)) << shift;
			shift += VARINT_BITS;
		}
		while ((next & VARINT_MORE) != 0);
		return number;
	}

}
