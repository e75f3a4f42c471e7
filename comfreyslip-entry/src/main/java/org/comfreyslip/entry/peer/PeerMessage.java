package org.comfreyslip.entry.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import org.comfreyslip.entry.config.TopicPosition;
import org.comfreyslip.entry.fleet.EndpointLimits;
import org.comfreyslip.entry.layers.LayerLoads.Load;

/**
 * One datagram between daemons. The binary form holds the components in their order here,
 * after the format version, apart from the positions: the offset and age of the
 * configuration stand where its position is named here, and its era and the position in
 * the registrations follow the limits. What begins with the limits was added later: a
 * daemon that does not know it ignores the bytes, and a message may end before it.
 *
 * @param sender name of the sending daemon
 * @param dataCentre the sender's data centre
 * @param sentAtNanos the sender's elapsed time when it sent the message, in ns
 * @param echoNanos the latest {@code sentAtNanos} that the sender has received from the
 * receiver of this message; 0 if none
 * @param configuration how far the sender has read the configuration
 * @param loads loads of the sender's own streams, by endpoint id or link between two data
 * centres; may be empty
 * @param slowdownFactors engines that the sender measured as slow, by endpoint id, with
 * the factor on their usual times; may be empty
 * @param unreachableEndpoints ids of the endpoints that the sender avoids because of a
 * fault that it observed itself; may be empty
 * @param limits request rates that endpoints stated to the sender itself, by endpoint id;
 * may be empty
 * @param registrations how far the sender has read the registrations
 * @param storeReachable whether the sender's last read of the store succeeded and it may
 * read for others
 * @param takesRelays whether the sender takes requests of other daemons
 * @param lostServices names of the services whose endpoints the sender does not reach;
 * may be empty
 * @param extensions blocks of parts of the daemon by their tag; may be empty
 */
public record PeerMessage(String sender, String dataCentre, long sentAtNanos, long echoNanos,
		TopicPosition configuration, Map<String, Load> loads, Map<String, Double> slowdownFactors,
		List<String> unreachableEndpoints, Map<String, EndpointLimits.Statement> limits, TopicPosition registrations,
		boolean storeReachable, boolean takesRelays, List<String> lostServices, Map<Integer, byte[]> extensions) {

	/** Version of the binary format; datagrams of another version are ignored. */
	private static final int FORMAT_VERSION = 1;

	/** Largest size of the content of an extension, in bytes. */
	public static final int MAX_EXTENSION_BYTES = 4_096;

	/** Encoded rate of a limit that has ended. */
	private static final double NO_LIMIT = -1;

	/**
	 * Returns when a position in this message was the end of its topic, by the clock of
	 * the receiver. The sender measured the age after it had received the receiver's
	 * message of the time {@link #echoNanos}. Subtracting the age from that time
	 * therefore never gives too late a time, however long the datagram was in transit or
	 * waited to be read.
	 * @param position the position
	 * @param nowNanos the receiver's elapsed time in ns
	 * @return the receiver's elapsed time in ns that is no later than that moment; empty
	 * if the message does not allow to tell
	 */
	OptionalLong confirmedAtNanos(TopicPosition position, long nowNanos) {
		boolean datable = this.echoNanos > 0 && position.ageNanos() >= 0 && this.echoNanos <= nowNanos;
		return (datable) ? OptionalLong.of(this.echoNanos - position.ageNanos()) : OptionalLong.empty();
	}

	/**
	 * Encodes the message.
	 * @return the content of the datagram
	 */
	public byte[] encode() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream(512);
		try (DataOutputStream out = new DataOutputStream(bytes)) {
			out.writeByte(FORMAT_VERSION);
			out.writeUTF(this.sender);
			out.writeUTF(this.dataCentre);
			out.writeLong(this.sentAtNanos);
			out.writeLong(this.echoNanos);
			out.writeLong(this.configuration.offset());
			out.writeLong(this.configuration.ageNanos());
			out.writeShort(this.loads.size());
			for (Map.Entry<String, Load> entry : this.loads.entrySet()) {
				out.writeUTF(entry.getKey());
				out.writeInt((int) Math.min(Integer.MAX_VALUE, entry.getValue().tokenLayers()));
				out.writeShort(entry.getValue().streamCount());
				out.writeShort(entry.getValue().firstStageCount());
			}
			out.writeShort(this.slowdownFactors.size());
			for (Map.Entry<String, Double> entry : this.slowdownFactors.entrySet()) {
				out.writeUTF(entry.getKey());
				out.writeDouble(entry.getValue());
			}
			writeNames(out, this.unreachableEndpoints);
			out.writeShort(this.limits.size());
			for (Map.Entry<String, EndpointLimits.Statement> entry : this.limits.entrySet()) {
				out.writeUTF(entry.getKey());
				out.writeDouble(entry.getValue().requestsPerSecond().orElse(NO_LIMIT));
				out.writeLong(entry.getValue().ageNanos());
			}
			out.writeLong(this.configuration.era());
			out.writeLong(this.registrations.offset());
			out.writeLong(this.registrations.ageNanos());
			out.writeLong(this.registrations.era());
			out.writeBoolean(this.storeReachable);
			out.writeBoolean(this.takesRelays);
			writeNames(out, this.lostServices);
			out.writeShort(this.extensions.size());
			for (Map.Entry<Integer, byte[]> entry : this.extensions.entrySet()) {
				out.writeByte(entry.getKey());
				out.writeShort(entry.getValue().length);
				out.write(entry.getValue());
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot encode a message to another daemon", ex);
		}
		return bytes.toByteArray();
	}

	private static void writeNames(DataOutputStream out, List<String> names) throws IOException {
		out.writeShort(names.size());
		for (String name : names) {
			out.writeUTF(name);
		}
	}

	/**
	 * Sets the echo of an encoded message, so that a message to many daemons, which
	 * differs only in the echo, is encoded once.
	 * @param datagram the encoded message, which stays unchanged
	 * @param echoNanos the new echo
	 * @return the content of the datagram with the echo
	 */
	static byte[] withEcho(byte[] datagram, long echoNanos) {
		ByteBuffer copy = ByteBuffer.wrap(datagram.clone());
		int dataCentreAt = Byte.BYTES + Short.BYTES + Short.toUnsignedInt(copy.getShort(Byte.BYTES));
		int sentAt = dataCentreAt + Short.BYTES + Short.toUnsignedInt(copy.getShort(dataCentreAt));
		return copy.putLong(sentAt + Long.BYTES, echoNanos).array();
	}

	/**
	 * Decodes a datagram.
	 * @param datagram the content of the datagram
	 * @return the message; empty if the bytes are not a message of this format version
	 */
	public static Optional<PeerMessage> decode(byte[] datagram) {
		try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(datagram))) {
			if (in.readByte() != FORMAT_VERSION) {
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
			Map<String, Double> slowdownFactors = new HashMap<>();
			for (int left = in.readUnsignedShort(); left > 0; left--) {
				slowdownFactors.put(in.readUTF(), in.readDouble());
			}
			List<String> unreachableEndpoints = readNames(in);
			Map<String, EndpointLimits.Statement> limits = readLimits(in);
			TopicPosition configuration = new TopicPosition(offset, age, (in.available() > 0) ? in.readLong() : -1);
			TopicPosition registrations = (in.available() > 0)
					? new TopicPosition(in.readLong(), in.readLong(), in.readLong()) : TopicPosition.UNKNOWN;
			boolean storeReachable = in.available() > 0 && in.readBoolean();
			boolean takesRelays = in.available() > 0 && in.readBoolean();
			List<String> lostServices = (in.available() > 0) ? readNames(in) : List.of();
			return Optional.of(new PeerMessage(sender, dataCentre, sent, echo, configuration, loads, slowdownFactors,
					unreachableEndpoints, limits, registrations, storeReachable, takesRelays, lostServices,
					readExtensions(in)));
		}
		catch (IOException ex) {
			// Any process may send to the port, so bytes that are not a message are no
			// error of this daemon.
			return Optional.empty();
		}
	}

	private static List<String> readNames(DataInputStream in) throws IOException {
		List<String> names = new ArrayList<>();
		for (int left = in.readUnsignedShort(); left > 0; left--) {
			names.add(in.readUTF());
		}
		return names;
	}

	private static Map<Integer, byte[]> readExtensions(DataInputStream in) throws IOException {
		Map<Integer, byte[]> extensions = new HashMap<>();
		if (in.available() == 0) {
			return extensions;
		}
		for (int left = in.readUnsignedShort(); left > 0; left--) {
			int tag = in.readUnsignedByte();
			byte[] content = new byte[in.readUnsignedShort()];
			in.readFully(content);
			extensions.put(tag, content);
		}
		return extensions;
	}

	private static Map<String, EndpointLimits.Statement> readLimits(DataInputStream in) throws IOException {
		Map<String, EndpointLimits.Statement> limits = new HashMap<>();
		if (in.available() == 0) {
			return limits;
		}
		for (int left = in.readUnsignedShort(); left > 0; left--) {
			String id = in.readUTF();
			double rate = in.readDouble();
			limits.put(id, new EndpointLimits.Statement((rate >= 0) ? OptionalDouble.of(rate) : OptionalDouble.empty(),
					in.readLong()));
		}
		return limits;
	}

}
