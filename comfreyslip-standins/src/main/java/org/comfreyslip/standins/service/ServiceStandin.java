package org.comfreyslip.standins.service;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.apache.commons.cli.Options;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.standins.Standin;
import org.comfreyslip.standins.StandinArguments;
import org.comfreyslip.standins.StandinReply;
import org.comfreyslip.standins.StandinRequest;
import org.comfreyslip.standins.StandinRoutes;
import org.comfreyslip.standins.StandinRuntime;

/**
 * Archive or registry service that records stamps.
 */
public final class ServiceStandin implements Standin {

	private static final int DEFAULT_CAPACITY = 64;

	private static final int DEFAULT_QUEUE = 1_024;

	private static final long NO_SEND_BY = Long.MAX_VALUE;

	private final StandinRuntime runtime;

	private final StampArchive archive = new StampArchive();

	private final CallSlots slots;

	private final int serviceMillis;

	private final boolean enforcesSendBy;

	/**
	 * Creates an empty service.
	 * @param arguments the options
	 * @param runtime what the server offers
	 */
	public ServiceStandin(StandinArguments arguments, StandinRuntime runtime) {
		this.runtime = runtime;
		this.slots = new CallSlots(Math.max(1, arguments.number("capacity", DEFAULT_CAPACITY)),
				arguments.number("queue", DEFAULT_QUEUE));
		this.serviceMillis = arguments.number("service-millis", 0);
		this.enforcesSendBy = arguments.has("enforce-send-by");
	}

	/**
	 * Returns the options.
	 * @return the options
	 */
	public static Options options() {
		return new Options().addOption(StandinArguments.option("capacity", "calls", "calls at a time, default 64"))
			.addOption(StandinArguments.option("queue", "calls", "calls that wait, default 1024; more are refused"))
			.addOption(StandinArguments.option("service-millis", "millis", "time of a call, default 0"))
			.addOption(StandinArguments.flag("enforce-send-by", "refuse stamps after Send-By-Epoch-Millis"));
	}

	@Override
	public void register(StandinRoutes routes) {
		routes.add("POST", "/stamps", (request) -> serve(() -> stamp(request)));
		routes.add("GET", "/stamps/by-key/{key}", (request) -> serve(() -> byKey(request.path("key"))));
		routes.add("GET", "/stamps/{certificate}", (request) -> serve(() -> byCertificate(request)));
		routes.add("GET", "/records", (request) -> StandinReply.json(records((stamp) -> true)).now());
	}

	private CompletableFuture<StandinReply> serve(Supplier<StandinReply> action) {
		CompletableFuture<Void> slot = this.slots.acquire();
		if (slot == null) {
			return StandinReply.error(ErrorCode.OVERLOADED, "the queue is full").now();
		}
		return slot.thenCompose((ignored) -> this.runtime.delay(this.serviceMillis))
			.thenApply((ignored) -> action.get())
			.whenComplete((reply, ex) -> this.slots.release());
	}

	private StandinReply stamp(StandinRequest request) {
		StampRequest stamp = request.json(StampRequest.class);
		if (stamp.certificate() == null) {
			throw new CodedException(ErrorCode.BAD_REQUEST, "certificate is missing");
		}
		long sendBy = request.header("Send-By-Epoch-Millis", NO_SEND_BY);
		if (this.enforcesSendBy && System.currentTimeMillis() > sendBy) {
			throw new CodedException(ErrorCode.DEADLINE_EXCEEDED, "arrived after its send-by time");
		}
		return StandinReply.json(this.archive.add(request.header("Idempotency-Key"), stamp));
	}

	private StandinReply byKey(String key) {
		List<StampRecord> found = this.archive.find((stamp) -> key.equals(stamp.key()));
		if (found.isEmpty()) {
			throw new CodedException(ErrorCode.NOT_FOUND, "no stamp has the key " + key);
		}
		return StandinReply.json(found.get(0));
	}

	private StandinReply byCertificate(StandinRequest request) {
		String certificate = request.path("certificate");
		return StandinReply.json(records((stamp) -> certificate.equals(stamp.certificate())));
	}

	private StampRecords records(Predicate<StampRecord> filter) {
		return new StampRecords(this.archive.find(filter));
	}

}
