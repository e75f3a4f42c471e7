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
 * Difference between the sender's member table and its state at the last confirmed
 * exchange with the receiver. A report that changed some time ago is sent as a heartbeat
 * of a few bytes; the receiver requests the reports of keys that it does not know. The
 * components are in the order of the encoded message.
 *
 * @param sender name of the daemon that sends the difference
 * @param requestedKeys keys of received heartbeats that the sender does not know and
 * requests the reports of, see {@link MemberTable#reportKey}
 * @param reports full reports of runs that changed recently or were requested
 * @param heartbeats heartbeats of the other runs that changed
 * @param usage usage of client accounts on the sender
 * @param notifications notifications about endpoints that the receiver may lack
 */
public record MembershipDelta(String sender, List<Integer> requestedKeys, List<MemberReport> reports,
		List<MemberHeartbeat> heartbeats, List<AccountUsage> usage, List<EndpointNotification> notifications) {

	private static final int VARINT_BITS = 7;

	private static final int VARINT_CONTINUATION = 0x80;

	/**
	 * Creates a difference. The lists are copied.
	 * @param sender name of the daemon that sends the difference
	 * @param requestedKeys keys of the reports that the sender requests
	 * @param reports full reports
	 * @param heartbeats heartbeats without a full report
	 * @param usage usage of client accounts on the sender
	 * @param notifications notifications about endpoints
	 */
	public MembershipDelta {
		requestedKeys = List.copyOf(requestedKeys);
		reports = List.copyOf(reports);
		heartbeats = List.copyOf(heartbeats);
		usage = List.copyOf(usage);
		notifications = List.copyOf(notifications);
	}

	/**
	 * Encodes the difference for a message between daemons. Numbers and lengths are
	 * variable-length integers, keys are four bytes, and texts are UTF-8.
	 * @return the encoded difference
	 */
	public byte[] encode() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		writeText(out, this.sender);
		writeList(out, this.requestedKeys, MembershipDelta::writeKey);
		writeList(out, this.reports, MembershipDelta::writeReport);
		writeList(out, this.heartbeats, MembershipDelta::writeHeartbeat);
		writeList(out, this.usage, MembershipDelta::writeUsage);
		writeList(out, this.notifications, MembershipDelta::writeNotification);
		return out.toByteArray();
	}

	/**
	 * Decodes a difference.
	 * @param bytes the bytes that {@link #encode()} returned
	 * @return the decoded difference
	 * @throws CodedException with {@link ErrorCode#BAD_REQUEST} if the bytes are damaged
	 */
	public static MembershipDelta decode(byte[] bytes) {
		ByteBuffer in = ByteBuffer.wrap(bytes);
		try {
			String sender = readText(in);
			List<Integer> requestedKeys = readList(in, ByteBuffer::getInt);
			return new MembershipDelta(sender, requestedKeys, readList(in, MembershipDelta::readReport),
					readList(in, MembershipDelta::readHeartbeat),
					readList(in, (buffer) -> new AccountUsage(readText(buffer), (int) readNumber(buffer))),
					readList(in, MembershipDelta::readNotification));
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

	private static void writeHeartbeat(ByteArrayOutputStream out, MemberHeartbeat heartbeat) {
		writeKey(out, heartbeat.key());
		writeNumber(out, heartbeat.heartbeat());
	}

	private static void writeKey(ByteArrayOutputStream out, int key) {
		out.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(key).array());
	}

	private static MemberHeartbeat readHeartbeat(ByteBuffer in) {
		return new MemberHeartbeat(in.getInt(), readNumber(in));
	}

	private static void writeUsage(ByteArrayOutputStream out, AccountUsage usage) {
		writeText(out, usage.account());
		writeNumber(out, usage.inUse());
	}

	private static void writeNotification(ByteArrayOutputStream out, EndpointNotification notification) {
		writeText(out, notification.endpoint());
		writeNumber(out, notification.state());
		writeNumber(out, notification.sequence());
	}

	private static EndpointNotification readNotification(ByteBuffer in) {
		return new EndpointNotification(readText(in), (int) readNumber(in), readNumber(in));
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
		long remaining = number;
		while (Long.compareUnsigned(remaining, VARINT_CONTINUATION) >= 0) {
			out.write((int) (remaining & (VARINT_CONTINUATION - 1)) | VARINT_CONTINUATION);
			remaining >>>= VARINT_BITS;
		}
		out.write((int) remaining);
	}

	private static long readNumber(ByteBuffer in) {
		long number = 0;
		int shift = 0;
		byte next;
		do {
			next = in.get();
			number |= (long) (next & (VARINT_CONTINUATION - 1)) << shift;
			shift += VARINT_BITS;
		}
		while ((next & VARINT_CONTINUATION) != 0);
		return number;
	}

}
