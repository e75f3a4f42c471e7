package org.comfreyslip.entry.duty;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

/**
 * A record of the log of the placement duty.
 *
 * @param writer the daemon that claims or confirms the duty by it, with its incarnation
 * @param serial number of the writer's append; repetitions have the same one
 * @param era the era of the store that the writer knew
 * @param waitMs time in ms after the append in which its writer, or one before it, may
 * still give orders: so long a successor waits
 * @param released whether the writer gives the duty up
 */
public record DutyRecord(String writer, long serial, long era, long waitMs, boolean released) {

	/** Version of the binary format; records of another version are not understood. */
	private static final int FORMAT_VERSION = 1;

	/**
	 * Encodes the record.
	 * @return the content for the store
	 */
	public byte[] encode() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (DataOutputStream out = new DataOutputStream(bytes)) {
			out.writeByte(FORMAT_VERSION);
			out.writeUTF(this.writer);
			out.writeLong(this.serial);
			out.writeLong(this.era);
			out.writeInt((int) this.waitMs);
			out.writeBoolean(this.released);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot encode a record of the placement duty", ex);
		}
		return bytes.toByteArray();
	}

	/**
	 * Decodes a record of the store.
	 * @param content the content
	 * @return the record; empty if the content has another format
	 */
	public static Optional<DutyRecord> decode(byte[] content) {
		try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(content))) {
			if (in.readUnsignedByte() != FORMAT_VERSION) {
				return Optional.empty();
			}
			DutyRecord decoded = new DutyRecord(in.readUTF(), in.readLong(), in.readLong(), in.readInt(),
					in.readBoolean());
			boolean valid = decoded.waitMs >= 0 && decoded.waitMs <= PlacementDuty.MAX_WINDOW_MS;
			return (valid) ? Optional.of(decoded) : Optional.empty();
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

}
