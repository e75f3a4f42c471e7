package org.comfreyslip.entry.admission;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.comfreyslip.entry.admission.ServiceRates.AccountKey;
import org.comfreyslip.entry.admission.ServiceRates.PriorityRates;

/**
 * Block with the rates of a daemon in the messages between daemons: format version,
 * number of services, then for each service the hash of its name (int), the number of its
 * priorities and for each the priority and three rates (float), the number of accounts
 * and for each the priority, the hash of its name (int) and its demand (float). Versions,
 * numbers and priorities are unsigned bytes.
 */
final class AdmissionBlock {

	/** Largest number of services of a block. */
	static final int MAX_SERVICES = 4;

	/** Largest number of priorities of a service. */
	static final int MAX_PRIORITIES = 10;

	/** Largest number of accounts of a block. */
	static final int MAX_ACCOUNTS = 32;

	/** Version of the binary format; blocks of another version are ignored. */
	private static final int FORMAT_VERSION = 1;

	private AdmissionBlock() {
	}

	static byte[] encode(Map<Integer, ServiceRates> byService) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
		try (DataOutputStream out = new DataOutputStream(bytes)) {
			out.writeByte(FORMAT_VERSION);
			out.writeByte(byService.size());
			for (Map.Entry<Integer, ServiceRates> service : byService.entrySet()) {
				out.writeInt(service.getKey());
				out.writeByte(service.getValue().byPriority().size());
				for (Map.Entry<Integer, PriorityRates> entry : service.getValue().byPriority().entrySet()) {
					out.writeByte(entry.getKey());
					out.writeFloat((float) entry.getValue().demand());
					out.writeFloat((float) entry.getValue().admitted());
					out.writeFloat((float) entry.getValue().refused());
				}
				out.writeByte(service.getValue().accountDemands().size());
				for (Map.Entry<AccountKey, Double> entry : service.getValue().accountDemands().entrySet()) {
					out.writeByte(entry.getKey().priority());
					out.writeInt(entry.getKey().accountHash());
					out.writeFloat(entry.getValue().floatValue());
				}
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot encode rates of requests", ex);
		}
		return bytes.toByteArray();
	}

	/**
	 * Decodes a block.
	 * @param block the content
	 * @return the rates by the hash of the service's name; empty if the content is no
	 * block of this version or exceeds the bounds
	 */
	static Optional<Map<Integer, ServiceRates>> decode(byte[] block) {
		try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(block))) {
			if (in.readUnsignedByte() != FORMAT_VERSION) {
				return Optional.empty();
			}
			Map<Integer, ServiceRates> byService = new HashMap<>();
			for (int left = readCount(in, MAX_SERVICES); left > 0; left--) {
				int service = in.readInt();
				Map<Integer, PriorityRates> byPriority = new HashMap<>();
				for (int rows = readCount(in, MAX_PRIORITIES); rows > 0; rows--) {
					byPriority.put(in.readUnsignedByte(), new PriorityRates(readRate(in), readRate(in), readRate(in)));
				}
				Map<AccountKey, Double> accounts = new HashMap<>();
				for (int rows = readCount(in, MAX_ACCOUNTS); rows > 0; rows--) {
					accounts.put(new AccountKey(in.readUnsignedByte(), in.readInt()), readRate(in));
				}
				byService.put(service, new ServiceRates(byPriority, accounts));
			}
			return Optional.of(byService);
		}
		catch (IOException ex) {
			// Any process may send to the port, so damaged bytes are no error of this
			// daemon.
			return Optional.empty();
		}
	}

	private static int readCount(DataInputStream in, int max) throws IOException {
		int count = in.readUnsignedByte();
		if (count > max) {
			throw new IOException("too many entries: " + count);
		}
		return count;
	}

	private static double readRate(DataInputStream in) throws IOException {
		float rate = in.readFloat();
		if (!(rate >= 0) || Float.isInfinite(rate)) {
			throw new IOException("not a rate: " + rate);
		}
		return rate;
	}

}
