package org.comfreyslip.entry.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.comfreyslip.entry.layers.LayerLoads.Load;

/**
 * One datagram between daemons.
 *
 * @param sender name of the sending daemon
 * @param dataCentre the sender's data centre
 * @param sentNanos the sender's elapsed time at sending
 * @param echoNanos the newest {@code sentNanos} that the sender has from the receiver; 0
 * if none
 * @param configurationOffset the offset up to which the sender knows the configuration
 * @param configurationAgeNanos age of the moment at which that was the end of the topic;
 * negative if never confirmed
 * @param loads the sender's own loads by endpoint or pipe
 * @param paces slow engines that the sender found, as factors on their usual times
 * @param unreachable endpoints that the sender found unreachable just now
 */
public record PeerMessage(String sender, String dataCentre, long sentNanos, long echoNanos, long configurationOffset,
		long configurationAgeNanos, Map<String, Load> loads, Map<String, Double> paces, List<String> unreachable) {

	/** Version of the format; a datagram of another version is ignored. */
	private static final int FORMAT = 1;

	/**
	 * Encodes the message.
	 * @return the bytes of the datagram
	 */
	public byte[] encode() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream(512);
		try (DataOutputStream out = new DataOutputStream(bytes)) {
			out.writeByte(FORMAT);
			out.writeUTF(this.sender);
			out.writeUTF(this.dataCentre);
			out.writeLong(this.sentNanos);
			out.writeLong(this.echoNanos);
			out.writeLong(this.configurationOffset);
			out.writeLong(this.configurationAgeNanos);
			out.writeShort(this.loads.size());
			for (Map.Entry<String, Load> entry : this.loads.entrySet()) {
				out.writeUTF(entry.getKey());
				out.writeInt((int) Math.min(Integer.MAX_VALUE, entry.getValue().tokenLayers()));
				out.writeShort(entry.getValue().streamCount());
				out.writeShort(entry.getValue().firstStageCount());
			}
			out.writeShort(this.paces.size());
			for (Map.Entry<String, Double> entry : this.paces.entrySet()) {
				out.writeUTF(entry.getKey());
				out.writeDouble(entry.getValue());
			}
			out.writeShort(this.unreachable.size());
			for (String id : this.unreachable) {
				out.writeUTF(id);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException("a message cannot be written to memory", ex);
		}
		return bytes.toByteArray();
	}

	/**
	 * Decodes a datagram.
	 * @param datagram the bytes
	 * @return the message, empty if the bytes are none of this version
	 */
	public static Optional<PeerMessage> decode(byte[] datagram) {
		try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(datagram))) {
			if (in.readByte() != FORMAT) {
				return Optional.empty();
			}
			String sender = in.readUTF();
			String dataCentre = in.readUTF();
			long sent = in.readLong();
			long echo = in.readLong();
			long offset = in.readLong();
			long age = in.readLong();
			Map<String, Load> loads = new HashMap<>();
			for (int left = in.readUnsignedShort(); left > 0; left--) {
				loads.put(in.readUTF(), new Load(in.readInt(), in.readUnsignedShort(), in.readUnsignedShort()));
			}
			Map<String, Double> paces = new HashMap<>();
			for (int left = in.readUnsignedShort(); left > 0; left--) {
				paces.put(in.readUTF(), in.readDouble());
			}
			List<String> unreachable = new ArrayList<>();
			for (int left = in.readUnsignedShort(); left > 0; left--) {
				unreachable.add(in.readUTF());
			}
			return Optional.of(new PeerMessage(sender, dataCentre, sent, echo, offset, age, loads, paces, unreachable));
		}
		catch (IOException ex) {
			// Any process may send to the port; bytes that are no message are not an
			// error of this daemon.
			return Optional.empty();
		}
	}

}
