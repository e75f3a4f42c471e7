package org.comfreyslip.entry.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.SocketAddresses;

/**
 * The registered endpoints. Registrations expire while the store is unavailable and
 * reappear shortly after it recovers, so an endpoint whose registration disappeared
 * during or just after an outage stays usable for {@link #LAPSED_USABLE_NANOS}.
 */
public final class EndpointDirectory {

	/**
	 * Time for which an endpoint stays usable after its registration disappeared near an
	 * outage, in ns. According to the platform, lapsed registrations reappear within
	 * about 2 s after the store has recovered.
	 */
	public static final long LAPSED_USABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);

	/**
	 * Time for which the last registration of an endpoint that left is remembered, in ns;
	 * longer than a store's copy is old that it goes back to.
	 */
	private static final long LEFT_REMEMBERED_NANOS = TimeUnit.SECONDS.toNanos(60);

	private final Map<String, Endpoint> registered = new HashMap<>();

	private final Map<String, Lapsed> lapsed = new HashMap<>();

	/** The last registrations of endpoints that have left, by identity. */
	private final Map<String, Left> left = new HashMap<>();

	/** Number of layers of the model of each service that has engines. */
	private Map<String, Integer> layerCounts = Map.of();

	private int version;

	/**
	 * Sets how many layers the models have. An endpoint that states layers beyond those
	 * of its service is not usable.
	 * @param counts the number of layers by service; without services that have no model
	 */
	public void setLayerCounts(Map<String, Integer> counts) {
		if (!counts.equals(this.layerCounts)) {
			this.layerCounts = Map.copyOf(counts);
			this.version++;
		}
	}

	/**
	 * Tells whether the layers of an endpoint exist in the model of its service.
	 * @param endpoint the endpoint
	 * @return whether they do, or it holds none or the service has no model
	 */
	public boolean fitsModel(Endpoint endpoint) {
		int layers = this.layerCounts.getOrDefault(endpoint.service(), Integer.MAX_VALUE);
		return endpoint.layers().filter((range) -> range.to() > layers).isEmpty();
	}

	private boolean isUsable(Endpoint endpoint) {
		return !endpoint.draining() && fitsModel(endpoint);
	}

	/**
	 * Applies a registration unless a newer one of the same endpoint is known. Earlier
	 * endpoints at the same address are removed.
	 * @param endpoint the registration
	 * @return whether the registration is new or differs from the known one in more than
	 * the heartbeat
	 */
	public boolean register(Endpoint endpoint) {
		Endpoint old = this.registered.get(endpoint.id());
		Left hasLeft = this.left.get(endpoint.id());
		boolean outdated = (old != null && isOlder(endpoint, old))
				|| (hasLeft != null && !isOlder(hasLeft.endpoint(), endpoint));
		if (outdated) {
			return false;
		}
		this.left.remove(endpoint.id());
		this.lapsed.remove(endpoint.id());
		if (fitsModel(endpoint)) {
			removePredecessors(endpoint);
		}
		this.registered.put(endpoint.id(), endpoint);
		boolean changed = old == null || !equalsExceptHeartbeat(old, endpoint);
		if (changed) {
			this.version++;
		}
		return changed;
	}

	// Only one endpoint can listen on an address, so an older endpoint that is still
	// registered there has ended.
	private void removePredecessors(Endpoint endpoint) {
		this.registered.values().removeIf((other) -> isPredecessor(other, endpoint));
		this.lapsed.values().removeIf((other) -> isPredecessor(other.endpoint(), endpoint));
	}

	private static boolean isPredecessor(Endpoint other, Endpoint endpoint) {
		return !other.id().equals(endpoint.id()) && other.address().equals(endpoint.address())
				&& other.incarnationStartMs() < endpoint.incarnationStartMs();
	}

	private static boolean isOlder(Endpoint candidate, Endpoint known) {
		if (candidate.incarnationStartMs() != known.incarnationStartMs()) {
			return candidate.incarnationStartMs() < known.incarnationStartMs();
		}
		return candidate.heartbeat() < known.heartbeat();
	}

	private static boolean equalsExceptHeartbeat(Endpoint left, Endpoint right) {
		return left.isSameIncarnation(right) && left.service().equals(right.service())
				&& left.address().equals(right.address()) && left.draining() == right.draining()
				&& left.layers().equals(right.layers()) && left.accelerator().equals(right.accelerator())
				&& left.slots() == right.slots();
	}

	/**
	 * Removes a registration. Near an outage of the store the endpoint stays usable for
	 * {@link #LAPSED_USABLE_NANOS} unless it is draining.
	 * @param id identity of the endpoint; may be unknown
	 * @param nearOutage whether the store is unavailable or has just recovered
	 * @param nowNanos the current elapsed time in ns
	 */
	public void remove(String id, boolean nearOutage, long nowNanos) {
		Endpoint old = this.registered.remove(id);
		if (old == null) {
			return;
		}
		this.version++;
		if (nearOutage && !old.draining()) {
			this.lapsed.put(id, new Lapsed(old, nowNanos + LAPSED_USABLE_NANOS));
		}
		else {
			this.left.put(id, new Left(old, nowNanos));
		}
	}

	/**
	 * Removes all registrations except the given ones, as {@link #remove} does.
	 * @param ids identities of the endpoints to keep
	 * @param nearOutage whether the store is unavailable or has just recovered
	 * @param nowNanos the current elapsed time in ns
	 */
	public void retainOnly(Set<String> ids, boolean nearOutage, long nowNanos) {
		for (String id : new ArrayList<>(this.registered.keySet())) {
			if (!ids.contains(id)) {
				remove(id, nearOutage, nowNanos);
			}
		}
	}

	/**
	 * Drops the lapsed registrations that have not reappeared within
	 * {@link #LAPSED_USABLE_NANOS}, and forgets endpoints that left long ago.
	 * @param nowNanos the current elapsed time in ns
	 */
	public void dropExpired(long nowNanos) {
		this.left.values().removeIf((one) -> nowNanos - one.leftAtNanos() > LEFT_REMEMBERED_NANOS);
		Iterator<Lapsed> all = this.lapsed.values().iterator();
		while (all.hasNext()) {
			if (nowNanos - all.next().usableUntilNanos() >= 0) {
				all.remove();
				this.version++;
			}
		}
	}

	/**
	 * Returns the endpoints of a service that may receive new requests.
	 * @param service name of the service
	 * @return the endpoints in no particular order; may be empty
	 */
	public List<Endpoint> usableEndpoints(String service) {
		return findUsable((endpoint) -> endpoint.service().equals(service));
	}

	/**
	 * Returns the endpoints of all services that may receive new requests.
	 * @return the endpoints in no particular order; may be empty
	 */
	public List<Endpoint> usableEndpoints() {
		return findUsable((endpoint) -> true);
	}

	private List<Endpoint> findUsable(Predicate<Endpoint> condition) {
		List<Endpoint> usable = new ArrayList<>();
		for (Endpoint endpoint : this.registered.values()) {
			if (condition.test(endpoint) && isUsable(endpoint)) {
				usable.add(endpoint);
			}
		}
		for (Lapsed entry : this.lapsed.values()) {
			if (condition.test(entry.endpoint()) && fitsModel(entry.endpoint())) {
				usable.add(entry.endpoint());
			}
		}
		return usable;
	}

	/**
	 * Finds an endpoint that may receive new requests.
	 * @param id identity of the endpoint
	 * @return the endpoint; empty if it is draining, gone or unknown, or does not fit its
	 * model
	 */
	public Optional<Endpoint> findUsable(String id) {
		Endpoint endpoint = this.registered.get(id);
		if (endpoint != null) {
			return (isUsable(endpoint)) ? Optional.of(endpoint) : Optional.empty();
		}
		return Optional.ofNullable(this.lapsed.get(id)).map(Lapsed::endpoint).filter(this::fitsModel);
	}

	/**
	 * Finds an endpoint of a service that may receive new requests by its address.
	 * @param service name of the service
	 * @param address the address as text, as {@link SocketAddresses#text} writes it
	 * @return the endpoint; empty if no such endpoint is usable
	 */
	public Optional<Endpoint> findUsableAt(String service, String address) {
		return usableEndpoints(service).stream()
			.filter((endpoint) -> SocketAddresses.text(endpoint.address()).equals(address))
			.findFirst();
	}

	/**
	 * Returns a number that increases whenever the usable endpoints may have changed.
	 * @return the number, 0 before the first registration
	 */
	public int version() {
		return this.version;
	}

	/**
	 * An endpoint that has left. A store that goes back to an older copy may show its
	 * last registration again.
	 *
	 * @param endpoint the last registration
	 * @param leftAtNanos elapsed time at which it was removed
	 */
	private record Left(Endpoint endpoint, long leftAtNanos) {
	}

	/**
	 * An endpoint whose registration disappeared near an outage.
	 *
	 * @param endpoint the last registration
	 * @param usableUntilNanos elapsed time up to which the endpoint may receive requests
	 */
	private record Lapsed(Endpoint endpoint, long usableUntilNanos) {
	}

}
