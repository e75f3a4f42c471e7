import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An engine in trouble answers a few streams with an event that does not end, in small
 * chunks, until the daemon closes. Meanwhile callers of another service send requests with
 * a timeout of one second to sound servers.
 */
final class EndlessEvent {

	private static final int CALLERS = 20;

	private static final int TIMEOUT_MS = 1_000;

	private static final int HALF_A_SECOND_MS = 500;

	private static final long LENGTH_NANOS = 60_000_000_000L;

	private static final int STREAMS_PER_S = 50;

	private static final int EVENTS = 15;

	private static final long EVENT_INTERVAL_MS = 100;

	/** Time at which the engine is in trouble. */
	private static final int TROUBLE_AT_S = 10;

	/** Less than 0.02 of the answers of the engine. */
	private static final int SPOILED_STREAMS = 14;

	/** Time from which the spoiled streams have no end. */
	private static volatile long troubleAtNanos;

	/** Open streams of the engine that are still to be spoiled. */
	private static final AtomicInteger TO_SPOIL = new AtomicInteger();

	private static final AtomicInteger ANSWERS = new AtomicInteger();

	private static final AtomicInteger SENT = new AtomicInteger();

	private static final AtomicInteger RUN = new AtomicInteger();

	private static final AtomicInteger ANSWERED = new AtomicInteger();

	/** Time of the last answer to any caller, and the longest time between two of them. */
	private static long lastAnswerNanos;

	private static long longestSilenceMs;

	public static void main(String[] arguments) {
		Case.run(arguments[0], EndlessEvent::isRuleBroken);
	}

	private static boolean isRuleBroken(Deployment deployment, Record record) throws Exception {
		deployment.configure(1,
				Deployment.route("letter", "/letter/", "streaming", "writer", 20_000, 2,
						",\"Sticky\":true,\"Resumable\":true,\"TargetGapMs\":200") + ","
						+ Deployment.route("pledge", "/pledge/", "non_idempotent", "registry", TIMEOUT_MS, 1, ""),
				Deployment.engineService("writer") + "," + Deployment.service("registry"));
		for (int index = 1; index <= 2; index++) {
			String id = "i-writer-" + index;
			deployment.registerEngine(new Server(id, (request) -> stream(request, id, record)), "writer");
		}
		for (int index = 1; index <= 3; index++) {
			deployment.register(new Server("i-registry-" + index, (request) -> {
				RUN.incrementAndGet();
				Deployment.sleep(20);
				request.answer(Server.bytes("recorded " + request.attempt()));
			}), "registry", "");
		}
		Deployment.Daemon daemon = deployment.startDaemon("edge-1", "zone-a");
		long start = System.nanoTime();
		List<Thread> threads = new ArrayList<>();
		AtomicInteger lateCount = new AtomicInteger();
		AtomicInteger unansweredCount = new AtomicInteger();
		for (int index = 0; index < CALLERS; index++) {
			threads.add(Deployment.startThread("caller", () -> {
				Caller caller = new Caller(daemon.callers);
				while (System.nanoTime() - start < LENGTH_NANOS) {
					call(caller, record, lateCount, unansweredCount);
					Deployment.sleep(30);
				}
			}));
		}
		Thread streamer = Deployment.startThread("streams", () -> {
			boolean spoiled = !Case.isTroubled();
			while (System.nanoTime() - start < LENGTH_NANOS) {
				if (!spoiled && System.nanoTime() - start >= TROUBLE_AT_S * 1_000_000_000L) {
					spoiled = true;
					troubleAtNanos = System.nanoTime() + 2 * EVENT_INTERVAL_MS * 1_000_000;
					TO_SPOIL.set(SPOILED_STREAMS);
				}
				Deployment.startThread("stream", () -> callStream(daemon, record));
				Deployment.sleep(1_000 / STREAMS_PER_S);
			}
		});
		for (Thread thread : threads) {
			thread.join();
		}
		streamer.join();
		int late = lateCount.get();
		int unanswered = unansweredCount.get();
		record.add("requests sent: " + SENT + ", run: " + RUN + ", answered: " + ANSWERED
				+ "; longest time without an answer to any of " + CALLERS + " callers: " + longestSilenceMs + " ms");
		record.add("answers of i-writer-1: " + ANSWERS.get());
		record.add("requests without an answer at their timeout: " + unanswered + ", of these without one "
				+ HALF_A_SECOND_MS + " ms later: " + late);
		System.out.println("unanswered at timeout " + unanswered + ", half a second later " + late
				+ ", longest silence " + longestSilenceMs + " ms");
		return 2 * late > unanswered;
	}

	private static void call(Caller caller, Record record, AtomicInteger late, AtomicInteger unanswered) {
		String attempt = Caller.newAttempt();
		long sent = System.nanoTime();
		SENT.incrementAndGet();
		String outcome;
		try {
			outcome = "status " + caller.call("POST", "/pledge/1", attempt, TIMEOUT_MS, new byte[600]).head().status();
			ANSWERED.incrementAndGet();
			recordAnswer(System.nanoTime());
		}
		catch (IOException ex) {
			outcome = "no answer: " + ex.getMessage();
			close(caller);
		}
		long tookMs = (System.nanoTime() - sent) / 1_000_000;
		if (tookMs > TIMEOUT_MS) {
			unanswered.incrementAndGet();
		}
		if (tookMs > TIMEOUT_MS + HALF_A_SECOND_MS) {
			late.incrementAndGet();
		}
		if (tookMs > TIMEOUT_MS) {
			record.add("answered " + attempt + " " + outcome + " after " + tookMs + " ms");
		}
	}

	private static synchronized void recordAnswer(long nowNanos) {
		if (lastAnswerNanos != 0) {
			longestSilenceMs = Math.max(longestSilenceMs, (nowNanos - lastAnswerNanos) / 1_000_000);
		}
		lastAnswerNanos = nowNanos;
	}

	private static void close(Caller caller) {
		try {
			caller.close();
		}
		catch (IOException ex) {
			// Closed already.
		}
	}

	private static void callStream(Deployment.Daemon daemon, Record record) {
		String attempt = Caller.newAttempt();
		long sent = System.nanoTime();
		String outcome;
		try (Caller caller = new Caller(daemon.callers)) {
			Caller.Answer answer = caller.call("POST", "/letter/1", attempt, 20_000, new byte[100], "X-Model: m",
					"X-Token-Usage: 100,20", "X-Prefix-Hash: a1:40,b" + attempt + ":60");
			outcome = "status " + answer.head().status() + ", " + answer.body().length + " bytes";
		}
		catch (IOException ex) {
			outcome = "closed: " + ex.getMessage();
		}
		record.add("stream " + attempt + " " + outcome + " after " + (System.nanoTime() - sent) / 1_000_000 + " ms");
	}

	private static void stream(Server.Request request, String id, Record record) throws IOException {
		request.out().write(Server.bytes(Server.signedHead(request.head())
				+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
		long after = request.head().field("last-event-id").isEmpty() ? 0
				: Long.parseLong(request.head().field("last-event-id"));
		boolean first = id.equals("i-writer-1");
		ANSWERS.addAndGet((first) ? 1 : 0);
		for (long event = after + 1; event <= EVENTS; event++) {
			if (first && TO_SPOIL.getAndUpdate((left) -> Math.max(0, left - 1)) > 0) {
				record.add("spoiled " + request.attempt() + " at " + id + " from event " + event);
				Deployment.sleep(Math.max(0, (troubleAtNanos - System.nanoTime()) / 1_000_000));
				sendWithoutEnd(request, event);
			}
			chunk(request, "id: " + event + "\ndata: piece " + event + "\n\n");
			Deployment.sleep(EVENT_INTERVAL_MS);
		}
		request.out().write(Server.bytes("0\r\n\r\n"));
	}

	private static void sendWithoutEnd(Server.Request request, long event) throws IOException {
		chunk(request, "id: " + event + "\ndata: ");
		byte[] small = Server.bytes("1\r\nx\r\n".repeat(1_000));
		while (true) {
			request.out().write(small);
		}
	}

	private static void chunk(Server.Request request, String text) throws IOException {
		request.out().write(Server.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
		request.out().flush();
	}

}
