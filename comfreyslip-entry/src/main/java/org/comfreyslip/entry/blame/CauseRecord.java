package org.comfreyslip.entry.blame;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.dynatrace.hash4j.hashing.Hashing;
import org.comfreyslip.entry.UnreadableRecordException;

/**
 * A cause of crashes as the store keeps it. The time is that of the day, since no other
 * clock is common to the daemon that writes it and the ones that start later.
 *
 * @param traits the traits of the cause, in ascending order; not empty
 * @param sinceEpochMs when its period began, in Unix ms
 * @param periodMs length of its period, in ms
 */
record CauseRecord(List<String> traits, long sinceEpochMs, long periodMs) {

	/** Version of the binary format; records of another version are not used. */
	private static final int FORMAT_VERSION = 1;

	/** Largest number of traits of a record. */
	private static final int MAX_TRAITS = 64;

	/**
	 * Describes a cause at the present time.
	 * @param cause the cause
	 * @param nowEpochMs the present time of the day in Unix ms
	 * @return the record
	 */
	static CauseRecord of(CrashNotice.KnownCause cause, long nowEpochMs) {
		return new CauseRecord(cause.traits().stream().sorted().toList(),
				nowEpochMs - TimeUnit.NANOSECONDS.toMillis(cause.ageNanos()),
				TimeUnit.NANOSECONDS.toMillis(cause.periodNanos()));
	}

	/**
	 * Returns the cause at the present time. One from the future, as another daemon's
	 * clock may give it, counts as new.
	 * @param nowEpochMs the present time of the day in Unix ms
	 * @return the cause
	 */
	CrashNotice.KnownCause cause(long nowEpochMs) {
		long ageMs = Math.max(0, nowEpochMs - this.sinceEpochMs);
		return new CrashNotice.KnownCause(this.traits, TimeUnit.MILLISECONDS.toNanos(ageMs),
				TimeUnit.MILLISECONDS.toNanos(this.periodMs));
	}

	/**
	 * Returns the key of the record of a cause.
	 * @param traits the traits of the cause
	 * @return a hash of the traits, the same for each order
	 */
	static String key(Set<String> traits) {
		byte[] hash = Hashing.murmur3_128()
			.hashStream()
			.putOrderedIterable(traits.stream().sorted().toList(), (trait, sink) -> sink.putString(trait))
			.get()
			.toByteArray();
		return HexFormat.of().formatHex(hash);
	}

	byte[] encode() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (DataOutputStream out = new DataOutputStream(bytes)) {
			out.writeByte(FORMAT_VERSION);
			out.writeLong(this.sinceEpochMs);
			out.writeLong(this.periodMs);
			out.writeShort(this.traits.size());
			for (String trait : this.traits) {
				out.writeUTF(trait);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot encode a cause of crashes", ex);
		}
		return bytes.toByteArray();
	}

	/**
	 * Decodes a record of the store.
	 * @param value the value of the record
	 * @return the cause
	 * @throws UnreadableRecordException if the value is not a cause of this version
	 */
	static CauseRecord decode(byte[] value) {
		try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(value))) {
			int version = in.readByte();
			if (version != FORMAT_VERSION) {
				throw new UnreadableRecordException(
						"the version of a cause of crashes is " + version + "; " + FORMAT_VERSION + " is expected");
			}
			long sinceEpochMs = in.readLong();
			long periodMs = in.readLong();
			int count = in.readUnsignedShort();
			if (count < 1 || count > MAX_TRAITS) {
				throw new UnreadableRecordException(
						"a cause of crashes has " + count + " traits; 1 to " + MAX_TRAITS + " are expected");
			}
			List<String> traits = new ArrayList<>();
			for (int left = count; left > 0; left--) {
				traits.add(in.readUTF());
			}
			return new CauseRecord(List.copyOf(traits), sinceEpochMs, periodMs);
		}
		catch (IOException ex) {
			throw new UnreadableRecordException("a cause of crashes is cut off: " + ex.getMessage());
		}
	}

}
