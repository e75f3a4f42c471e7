package org.comfreyslip.entry.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;

import com.dynatrace.hash4j.hashing.Hashing;
import org.comfreyslip.entry.peer.PeerExtension;
import org.comfreyslip.entry.peer.PeerExtensionTag;

/**
 * Decides which requests are held back while the engines of a service are short of
 * capacity: the least urgent first, and within a priority those of the accounts with the
 * largest demand. Addresses demand above capacity with several priorities or accounts;
 * without shortage nothing is held back. Performs no I/O; all times are elapsed times in
 * ns, all work is in tokens times layers.
 */
public final class AdmissionControl implements PeerExtension {

	/**
	 * Age up to which rates of a daemon of the same data centre are used, in ns: three
	 * intervals of 130 daemons.
	 */
	private static final long LOCAL_VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(3_200);

	/**
	 * Age up to which the demand of accounts at other daemons is used, in ns: three
	 * intervals of 390 daemons.
	 */
	private static final long REMOTE_VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(38);

	/**
	 * Age up to which rates follow a burst, in ns: an interval of the daemons of one data
	 * centre, or of all daemons if these are few.
	 */
	private static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

	/** Largest number of other daemons whose rates are kept. */
	private static final int MAX_PEERS = 512;

	private final String dataCentre;

	private final RandomGenerator random;

	private final Map<String, ServiceAdmission> services = new TreeMap<>();

	private final Map<String, PeerReport> peers = new HashMap<>();

	/**
	 * Creates a control that holds nothing back.
	 * @param dataCentre this daemon's data centre
	 * @param random source of random numbers
	 */
	public AdmissionControl(String dataCentre, RandomGenerator random) {
		this.dataCentre = dataCentre;
		this.random = random;
	}

	/**
	 * Decides about a request that has arrived, before its first send, and records its
	 * demand. Must be called once for each request.
	 * @param service name of the service
	 * @param priority rank of the request; 0 is the most urgent
	 * @param account name of the client account; empty if it has none
	 * @param work tokens of prompt and expected response times layers
	 * @param returning whether it was refused before and returns when it was told to;
	 * such a request is never held back
	 * @param freeWork returns the free room of the pool as far as it is known, in tokens
	 * times layers; negative if it is not known
	 * @param nowNanos the current elapsed time in ns
	 * @return the decision
	 */
	public Decision decide(String service, int priority, String account, double work, boolean returning,
			DoubleSupplier freeWork, long nowNanos) {
		Decision decision = service(service, nowNanos).arrive(priority, hash(account), work,
				(freshOnly) -> peerRates(service, freshOnly, nowNanos), freeWork, nowNanos);
		return (returning) ? Decision.ADMIT : decision;
	}

	/**
	 * Records a request that was let through and got capacity.
	 * @param service name of the service
	 * @param priority rank of the request
	 * @param work tokens times layers
	 * @param nowNanos the current elapsed time in ns
	 */
	public void recordAdmitted(String service, int priority, double work, long nowNanos) {
		service(service, nowNanos).recordAdmitted(priority, work, nowNanos);
	}

	/**
	 * Records a request that was let through and is refused for lack of capacity.
	 * @param service name of the service
	 * @param priority rank of the request
	 * @param work tokens times layers
	 * @param nowNanos the current elapsed time in ns
	 */
	public void recordNoCapacity(String service, int priority, double work, long nowNanos) {
		service(service, nowNanos).recordNoCapacity(priority, work, nowNanos);
	}

	/**
	 * Records a request that was let through and is refused for another reason than lack
	 * of capacity. It does not count as demand, since no share would get it served.
	 * @param service name of the service
	 * @param priority rank of the request
	 * @param work tokens times layers
	 * @param nowNanos the current elapsed time in ns
	 */
	public void recordUnservable(String service, int priority, double work, long nowNanos) {
		service(service, nowNanos).recordUnservable(priority, work, nowNanos);
	}

	/**
	 * Returns which part of a service's demand is let through, as of the last decision.
	 * @param service name of the service
	 * @param nowNanos the current elapsed time in ns
	 * @return the part; 1 if nothing is held back
	 */
	public double share(String service, long nowNanos) {
		ServiceAdmission known = this.services.get(service);
		return (known != null) ? known.share(nowNanos) : 1;
	}

	/**
	 * Describes which part of each priority is let through, for the log.
	 * @param service name of the service
	 * @return the parts by priority, as of the last decision
	 */
	public String describeShares(String service) {
		ServiceAdmission known = this.services.get(service);
		return (known != null) ? known.describeShares() : "{}";
	}

	private ServiceAdmission service(String name, long nowNanos) {
		return this.services.computeIfAbsent(name, (missing) -> new ServiceAdmission(this.random, nowNanos));
	}

	private List<ServiceRates> peerRates(String service, boolean freshOnly, long nowNanos) {
		int key = hash(service);
		this.peers.values().removeIf((report) -> nowNanos - report.receivedAtNanos() > report.validityNanos());
		List<ServiceRates> found = new ArrayList<>();
		for (PeerReport report : this.peers.values()) {
			ServiceRates rates = report.byService().get(key);
			if (rates != null && (!freshOnly || nowNanos - report.receivedAtNanos() <= FRESH_NANOS)) {
				found.add(rates);
			}
		}
		return found;
	}

	private static int hash(String name) {
		return Hashing.murmur3_32().hashCharsToInt(name);
	}

	@Override
	public int tag() {
		return PeerExtensionTag.ADMISSION;
	}

	@Override
	public Optional<byte[]> content(long nowNanos) {
		Map<Integer, ServiceRates> byService = new HashMap<>();
		int accountsLeft = AdmissionBlock.MAX_ACCOUNTS;
		for (Map.Entry<String, ServiceAdmission> service : this.services.entrySet()) {
			if (byService.size() < AdmissionBlock.MAX_SERVICES && service.getValue().isShort(nowNanos)) {
				ServiceRates rates = service.getValue().ownRates(accountsLeft, nowNanos);
				accountsLeft -= rates.accountDemands().size();
				byService.put(hash(service.getKey()), rates);
			}
		}
		return (byService.isEmpty()) ? Optional.empty() : Optional.of(AdmissionBlock.encode(byService));
	}

	@Override
	public void onContent(String sender, String senderDataCentre, Optional<byte[]> content, long nowNanos) {
		Optional<Map<Integer, ServiceRates>> byService = content.flatMap(AdmissionBlock::decode);
		if (byService.isEmpty() || (this.peers.size() >= MAX_PEERS && !this.peers.containsKey(sender))) {
			this.peers.remove(sender);
			return;
		}
		boolean local = senderDataCentre.equals(this.dataCentre);
		this.peers.put(sender, new PeerReport(local, byService.get(), nowNanos));
		if (local) {
			this.services.forEach((name, admission) -> {
				ServiceRates rates = byService.get().get(hash(name));
				if (rates != null) {
					admission.onLocalRates(rates, nowNanos);
				}
			});
		}
	}

	/**
	 * The last rates of another daemon.
	 *
	 * @param local whether it is in the same data centre
	 * @param byService rates by the hash of the service's name
	 * @param receivedAtNanos elapsed time of their arrival in ns
	 */
	private record PeerReport(boolean local, Map<Integer, ServiceRates> byService, long receivedAtNanos) {

		long validityNanos() {
			return (this.local) ? LOCAL_VALIDITY_NANOS : REMOTE_VALIDITY_NANOS;
		}

	}

}
