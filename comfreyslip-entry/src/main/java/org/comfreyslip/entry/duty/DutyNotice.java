package org.comfreyslip.entry.duty;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

/**
 * What a daemon tells of the holder of the placement duty: the holder itself to its
 * standbys, or another daemon what it has heard.
 *
 * @param holder writer of the last record
 * @param era era of the store in which the record was appended
 * @param offset offset of the record, at least 0
 * @param waitMs time that a successor waits, in ms
 * @param released whether the holder has given the duty up
 * @param ageMs time since the holder stated this, in ms
 * @param rank the receiver's rank among the standbys, from 0; {@link #NO_STANDBY} if it
 * is none
 */
public record DutyNotice(String holder, long era, long offset, long waitMs, boolean released, long ageMs, int rank) {

	/** Rank of a daemon that is no standby. */
	public static final int NO_STANDBY = 255;

	/** First byte of the datagram, different from those of the other messages. */
	private static final int FORMAT_VERSION = 4;

	/**
	 * Returns the notice as another daemon passes it on.
	 * @param age its age, in ms
	 * @return the notice without a rank
	 */
	public DutyNotice passedOn(long age) {
		return new DutyNotice(this.holder, this.era, this.offset, this.waitMs, this.released, age, NO_STANDBY);
	}

	/**
	 * Encodes the notice.
	 * @return the content of a datagram or of a block of the periodic messages
	 */
	public byte[] encode() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (DataOutputStream out = new DataOutputStream(bytes)) {
			out.writeByte(FORMAT_VERSION);
			out.writeUTF(this.holder);
			out.writeLong(this.era);
			out.writeLong(this.offset);
			out.writeInt((int) this.waitMs);
			out.writeBoolean(this.released);
			out.writeInt((int) Math.min(Integer.MAX_VALUE, this.ageMs));
			out.writeByte(this.rank);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot encode a notice of the placement duty", ex);
		}
		return bytes.toByteArray();
	}

	/**
	 * Decodes a notice, which may come from any process.
	 * @param content the content
	 * @return the notice; empty if the content is none
	 */
	public static Optional<DutyNotice> decode(byte[] content) {
		try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(content))) {
			if (in.readUnsignedByte() != FORMAT_VERSION) {
				return Optional.empty();
			}
			DutyNotice notice = new DutyNotice(in.readUTF(), in.readLong(), in.readLong(), in.readInt(),
					in.readBoolean(), in.readInt(), in.readUnsignedByte());
			boolean valid = notice.offset >= 0 && notice.ageMs >= 0 && notice.waitMs >= 0
					&& notice.waitMs <= PlacementDuty.MAX_WINDOW_MS;
			return (valid) ? Optional.of(notice) : Optional.empty();
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

}
