package org.comfreyslip.entry.http;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.comfreyslip.entry.model.ClientAccount;
import org.comfreyslip.entry.model.Configuration;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.model.Route;
import org.comfreyslip.entry.model.ServiceSpec;
import org.comfreyslip.entry.route.RouteTable;

/**
 * Admits requests by the configuration: finds the route, checks the API key, chooses the
 * service and determines the priority.
 */
final class RequestAdmission {

	/**
	 * Age of the configuration, in ns, up to which a missing route or key is reported as
	 * such (404 or 401) rather than as not known yet (503).
	 */
	private static final long MAX_CERTAIN_AGE_NANOS = TimeUnit.SECONDS.toNanos(4);

	private final RandomGenerator random;

	/**
	 * Creates the admission.
	 * @param random source of random numbers for the choice of services
	 */
	RequestAdmission(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Admits a request under a configuration, or refuses it.
	 * @param request the request
	 * @param fields the fields of its head
	 * @param configuration the configuration in force, {@code null} before the first one
	 * @param routeTable the routes of the configuration
	 * @param ageNanos age of the configuration, in ns
	 * @param staleRetryMs time after which a caller may retry whose route or key is not
	 * known yet, in ms
	 * @return the admitted request or the refusal
	 */
	Admission admit(CallerConnection.IncomingRequest request, HeaderTranslator.RequestFields fields,
			Configuration configuration, RouteTable routeTable, long ageNanos, long staleRetryMs) {
		if (configuration == null) {
			return Admission.refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "no configuration yet", 1_000);
		}
		boolean certain = ageNanos < MAX_CERTAIN_AGE_NANOS;
		Optional<Route> found = routeTable.find(request.host(), request.head().uri());
		if (found.isEmpty()) {
			return (certain) ? Admission.refuse(HttpResponseStatus.NOT_FOUND, "no such route", -1)
					: Admission.refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "no such route known yet", staleRetryMs);
		}
		Route route = found.get();
		Optional<ClientAccount> account = Optional.empty();
		if (!route.keyless() && configuration.keysRequired()) {
			account = fields.apiKey().map(configuration.accountsByKey()::get);
			if (account.isEmpty()) {
				return (certain || fields.apiKey().isEmpty())
						? Admission.refuse(HttpResponseStatus.UNAUTHORIZED, "the API key is not valid", -1)
						: Admission.refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "the API key is not known yet",
								staleRetryMs);
			}
		}
		ServiceSpec service = configuration.services().get(chooseService(route));
		if (service == null) {
			return Admission.refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "the route has no service", 1_000);
		}
		int priority = account.filter((one) -> one.priority() >= 0)
			.map(ClientAccount::priority)
			.orElse(route.priority());
		return Admission.admit(new AdmittedRequest(configuration.version(), route, service.name(), service.engine(),
				account, priority));
	}

	private String chooseService(Route route) {
		double total = 0;
		for (Route.WeightedService service : route.services()) {
			total += service.weight();
		}
		double point = this.random.nextDouble() * total;
		for (Route.WeightedService service : route.services()) {
			point -= service.weight();
			if (point < 0) {
				return service.service();
			}
		}
		return route.services().get(route.services().size() - 1).service();
	}

	/**
	 * A request that was admitted, with what the configuration says about it.
	 *
	 * @param version version of the configuration under which it was admitted
	 * @param route the route
	 * @param service name of the service that was chosen for it
	 * @param engine the service's model engine; empty for plain services
	 * @param account the client account; empty on keyless routes and if no keys are
	 * required
	 * @param priority rank of the request; 0 is the most urgent
	 */
	record AdmittedRequest(long version, Route route, String service, Optional<EngineSpec> engine,
			Optional<ClientAccount> account, int priority) {
	}

	/**
	 * Result of admission: either an admitted request or a refusal.
	 *
	 * @param admitted the admitted request, {@code null} if refused
	 * @param refusal the response to the caller, {@code null} if admitted
	 * @param reason why it was refused, for the log; empty if admitted
	 */
	record Admission(AdmittedRequest admitted, DefaultFullHttpResponse refusal, String reason) {

		static Admission admit(AdmittedRequest admitted) {
			return new Admission(admitted, null, "");
		}

		static Admission refuse(HttpResponseStatus status, String message, long retryAfterMs) {
			return new Admission(null, OwnResponses.create(status, message, retryAfterMs),
					status.code() + " " + message);
		}

	}

}
