package org.comfreyslip.standins.log;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.apache.commons.cli.Options;
import org.comfreyslip.clients.log.AppendReply;
import org.comfreyslip.clients.log.AppendRequest;
import org.comfreyslip.clients.log.LogPage;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.standins.RateBucket;
import org.comfreyslip.standins.Standin;
import org.comfreyslip.standins.StandinArguments;
import org.comfreyslip.standins.StandinReply;
import org.comfreyslip.standins.StandinRequest;
import org.comfreyslip.standins.StandinRoutes;
import org.comfreyslip.standins.StandinRuntime;

/**
 * Append-only log with retention, a limit on the append rate and long-poll reads.
 */
public final class LogStandin implements Standin {

	private static final String PATH = "/streams/{stream}/records";

	private static final int DEFAULT_APPENDS_PER_SECOND = 500;

	private static final int DEFAULT_MAX_RECORDS = 100;

	private static final int TOO_MANY_REQUESTS = 429;

	private final StandinRuntime runtime;

	private final int retentionCount;

	private final long retentionNanos;

	private final RateBucket rate;

	private final Map<String, StreamLog> streams = new HashMap<>();

	private final List<Waiter> waiters = new ArrayList<>();

	/**
	 * Creates an empty log.
	 * @param arguments the options
	 * @param runtime what the server offers
	 */
	public LogStandin(StandinArguments arguments, StandinRuntime runtime) {
		this.runtime = runtime;
		this.retentionCount = arguments.number("retention-count", 0);
		this.retentionNanos = TimeUnit.MILLISECONDS.toNanos(arguments.number("retention-millis", 0));
		int perSecond = arguments.number("appends-per-second", DEFAULT_APPENDS_PER_SECOND);
		this.rate = (perSecond > 0) ? new RateBucket(perSecond, perSecond, System.nanoTime()) : null;
	}

	/**
	 * Returns the options.
	 * @return the options
	 */
	public static Options options() {
		return new Options()
			.addOption(
					StandinArguments.option("retention-count", "records", "records kept per stream, default 0 for all"))
			.addOption(StandinArguments.option("retention-millis", "millis",
					"time that a record is kept, default 0 for ever"))
			.addOption(StandinArguments.option("appends-per-second", "rate",
					"appends over all streams, default 500, 0 for no limit"));
	}

	@Override
	public void register(StandinRoutes routes) {
		routes.add("POST", PATH, (request) -> append(request).now());
		routes.add("GET", PATH, this::read);
	}

	private synchronized StandinReply append(StandinRequest request) {
		byte[] data = request.json(AppendRequest.class).data();
		if (data == null) {
			throw new CodedException(ErrorCode.BAD_REQUEST, "data is missing");
		}
		long now = System.nanoTime();
		if (this.rate != null && this.rate.take(1, now) > 0) {
			return StandinReply.error(TOO_MANY_REQUESTS, ErrorCode.OVERLOADED, "too many appends per second");
		}
		long offset = stream(request.path("stream")).append(data, now);
		wakeReaders(now);
		return StandinReply.json(new AppendReply(offset));
	}

	private synchronized CompletableFuture<StandinReply> read(StandinRequest request) {
		String name = request.path("stream");
		long from = request.query("from", 0);
		int max = (int) request.query("max", DEFAULT_MAX_RECORDS);
		long waitMillis = request.query("waitMs", 0);
		Waiter waiter = new Waiter(name, from, max, new CompletableFuture<>());
		if (waitMillis <= 0 || stream(name).isReadable(from, System.nanoTime())) {
			return StandinReply.json(page(waiter)).now();
		}
		this.waiters.add(waiter);
		this.runtime.delay(waitMillis).thenRun(() -> giveUp(waiter));
		return waiter.future().thenApplyAsync(StandinReply::json, this.runtime.workers());
	}

	private void wakeReaders(long now) {
		Iterator<Waiter> iterator = this.waiters.iterator();
		while (iterator.hasNext()) {
			Waiter waiter = iterator.next();
			if (stream(waiter.stream()).isReadable(waiter.from(), now)) {
				iterator.remove();
				waiter.future().complete(page(waiter));
			}
		}
	}

	private synchronized void giveUp(Waiter waiter) {
		if (this.waiters.remove(waiter)) {
			waiter.future().complete(page(waiter));
		}
	}

	private LogPage page(Waiter waiter) {
		return stream(waiter.stream()).read(waiter.from(), waiter.max(), System.nanoTime());
	}

	private StreamLog stream(String name) {
		return this.streams.computeIfAbsent(name, (ignored) -> new StreamLog(this.retentionCount, this.retentionNanos));
	}

	private record Waiter(String stream, long from, int max, CompletableFuture<LogPage> future) {
	}

}
