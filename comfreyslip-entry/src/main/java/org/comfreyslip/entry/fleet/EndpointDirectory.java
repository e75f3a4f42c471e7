package org.comfreyslip.entry.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.model.Endpoint;

/**
 * The registered endpoints. Registrations lapse while the store is away and come back
 * shortly after its return, so an endpoint whose registration vanished around an outage
 * stays usable for a short time.
 */
public final class EndpointDirectory {

	/**
	 * Time after an outage in which lapsed registrations come back, in ns; the platform
	 * says about 2 s.
	 */
	public static final long RETURN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);

	private final Map<String, Endpoint> registered = new HashMap<>();

	private final Map<String, Lapsed> lapsed = new HashMap<>();

	private int version;

	/**
	 * Applies a registration.
	 * @param endpoint the registration
	 * @return whether something other than the heartbeat changed
	 */
	public boolean register(Endpoint endpoint) {
		Endpoint old = this.registered.get(endpoint.id());
		if (old != null && isOlder(endpoint, old)) {
			return false;
		}
		this.lapsed.remove(endpoint.id());
		removePredecessors(endpoint);
		this.registered.put(endpoint.id(), endpoint);
		boolean changed = old == null || !sameButHeartbeat(old, endpoint);
		if (changed) {
			this.version++;
		}
		return changed;
	}

	// An address serves one endpoint at a time, so an older one that is still registered
	// there has ended.
	private void removePredecessors(Endpoint endpoint) {
		this.registered.values().removeIf((other) -> isPredecessor(other, endpoint));
		this.lapsed.values().removeIf((other) -> isPredecessor(other.endpoint(), endpoint));
	}

	private static boolean isPredecessor(Endpoint other, Endpoint endpoint) {
		return !other.id().equals(endpoint.id()) && other.address().equals(endpoint.address())
				&& other.bornMs() < endpoint.bornMs();
	}

	private static boolean isOlder(Endpoint candidate, Endpoint known) {
		if (candidate.bornMs() != known.bornMs()) {
			return candidate.bornMs() < known.bornMs();
		}
		return candidate.heartbeat() < known.heartbeat();
	}

	private static boolean sameButHeartbeat(Endpoint left, Endpoint right) {
		return left.sameIncarnation(right) && left.service().equals(right.service())
				&& left.address().equals(right.address()) && left.draining() == right.draining()
				&& left.layers().equals(right.layers()) && left.accelerator().equals(right.accelerator());
	}

	/**
	 * Removes a registration.
	 * @param id the endpoint
	 * @param nearOutage whether the store is or was just out of reach
	 * @param nowNanos the current elapsed time in ns
	 */
	public void remove(String id, boolean nearOutage, long nowNanos) {
		Endpoint old = this.registered.remove(id);
		if (old == null) {
			return;
		}
		this.version++;
		if (nearOutage && !old.draining()) {
			this.lapsed.put(id, new Lapsed(old, nowNanos + RETURN_NANOS));
		}
	}

	/**
	 * Removes all registrations but some.
	 * @param ids the registrations to keep
	 * @param nearOutage whether the store is or was just out of reach
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
	 * Drops lapsed registrations that did not come back in time.
	 * @param nowNanos the current elapsed time in ns
	 */
	public void expire(long nowNanos) {
		Iterator<Lapsed> all = this.lapsed.values().iterator();
		while (all.hasNext()) {
			if (nowNanos - all.next().untilNanos() >= 0) {
				all.remove();
				this.version++;
			}
		}
	}

	/**
	 * Returns the endpoints of a service that may get new requests.
	 * @param service the service
	 * @return the endpoints, in no order
	 */
	public List<Endpoint> usable(String service) {
		List<Endpoint> usable = new ArrayList<>();
		for (Endpoint endpoint : this.registered.values()) {
			if (endpoint.service().equals(service) && !endpoint.draining()) {
				usable.add(endpoint);
			}
		}
		for (Lapsed entry : this.lapsed.values()) {
			if (entry.endpoint().service().equals(service)) {
				usable.add(entry.endpoint());
			}
		}
		return usable;
	}

	/**
	 * Finds an endpoint that may get new requests.
	 * @param id the endpoint's identity
	 * @return the endpoint, empty if it left or is unknown
	 */
	public Optional<Endpoint> find(String id) {
		Endpoint endpoint = this.registered.get(id);
		if (endpoint != null) {
			return (endpoint.draining()) ? Optional.empty() : Optional.of(endpoint);
		}
		return Optional.ofNullable(this.lapsed.get(id)).map(Lapsed::endpoint);
	}

	/**
	 * Returns a number that increases whenever the usable endpoints change.
	 * @return the number
	 */
	public int version() {
		return this.version;
	}

	private record Lapsed(Endpoint endpoint, long untilNanos) {
	}

}
