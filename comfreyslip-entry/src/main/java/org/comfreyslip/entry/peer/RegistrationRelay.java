package org.comfreyslip.entry.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.comfreyslip.entry.config.KeyedLog.KeyedRecord;

/**
 * Datagram with records of the topic of registrations, which the daemon that reads the
 * store passes on to those that follow it. A lost datagram leaves a gap in the offsets,
 * which the follower closes by a read of its own.
 *
 * @param sender name of the sending daemon
 * @param era era of the store to which the offsets belong
 * @param nearOutage whether the store was unavailable at the sender shortly before
 * @param records the records, with consecutive offsets; not empty
 */
public record RegistrationRelay(String sender, long era, boolean nearOutage, List<KeyedRecord> records) {

	/** Version byte of the datagram, different from those of {@link PeerMessage}. */
	private static final int FORMAT_VERSION = 2;

	/**
	 * Size of the records in a datagram, in bytes; a few IP packets, so that the loss of
	 * one seldom costs more than a read of the follower.
	 */
	private static final int MAX_RECORD_BYTES = 8_192;

	/** Encoded length of the value of a record that removes its key. */
	private static final int REMOVED = -1;

	/**
	 * Distributes records over as many datagrams as they need. A record that is too large
	 * for one ends the relay, and followers read from there on.
	 * @param sender name of this daemon
	 * @param era era of the store to which the offsets belong
	 * @param nearOutage whether the store was unavailable shortly before
	 * @param records the records in order of their offsets
	 * @return the relays; empty if there are no records
	 */
	static List<RegistrationRelay> split(String sender, long era, boolean nearOutage, List<KeyedRecord> records) {
		List<RegistrationRelay> relays = new ArrayList<>();
		List<KeyedRecord> part = new ArrayList<>();
		int partBytes = 0;
		for (KeyedRecord keyed : records) {
			int size = keyed.key().getBytes(StandardCharsets.UTF_8).length
					+ keyed.value().map((value) -> value.length).orElse(0);
			if (size > MAX_RECORD_BYTES) {
				break;
			}
			if (partBytes + size > MAX_RECORD_BYTES) {
				relays.add(new RegistrationRelay(sender, era, nearOutage, List.copyOf(part)));
				part.clear();
				partBytes = 0;
			}
			part.add(keyed);
			partBytes += size;
		}
		if (!part.isEmpty()) {
			relays.add(new RegistrationRelay(sender, era, nearOutage, List.copyOf(part)));
		}
		return relays;
	}

	/**
	 * Encodes the relay.
	 * @return the content of the datagram
	 */
	public byte[] encode() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream(512);
		try (DataOutputStream out = new DataOutputStream(bytes)) {
			out.writeByte(FORMAT_VERSION);
			out.writeUTF(this.sender);
			out.writeLong(this.era);
			out.writeBoolean(this.nearOutage);
			out.writeLong(this.records.get(0).offset());
			out.writeShort(this.records.size());
			for (KeyedRecord keyed : this.records) {
				out.writeUTF(keyed.key());
				out.writeInt(keyed.value().map((value) -> value.length).orElse(REMOVED));
				out.write(keyed.value().orElse(new byte[0]));
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot encode registrations for another daemon", ex);
		}
		return bytes.toByteArray();
	}

	/**
	 * Decodes a datagram.
	 * @param datagram the content of the datagram
	 * @return the relay; empty if the bytes are not a relay of this format version
	 */
	public static Optional<RegistrationRelay> decode(byte[] datagram) {
		try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(datagram))) {
			if (in.readByte() != FORMAT_VERSION) {
				return Optional.empty();
			}
			String sender = in.readUTF();
			long era = in.readLong();
			boolean nearOutage = in.readBoolean();
			long offset = in.readLong();
			List<KeyedRecord> records = new ArrayList<>();
			for (int left = in.readUnsignedShort(); left > 0; left--) {
				String key = in.readUTF();
				int length = in.readInt();
				if (length > in.available()) {
					return Optional.empty();
				}
				Optional<byte[]> value = (length >= 0) ? Optional.of(in.readNBytes(length)) : Optional.empty();
				records.add(new KeyedRecord(key, value, offset));
				offset++;
			}
			return (records.isEmpty()) ? Optional.empty()
					: Optional.of(new RegistrationRelay(sender, era, nearOutage, records));
		}
		catch (IOException ex) {
			// Any process may send to the port, so bytes that are not a relay are no
			// error of this daemon.
			return Optional.empty();
		}
	}

}
