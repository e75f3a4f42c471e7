import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers send HEAD and GET requests in turn over connections that they keep open. A new
 * configuration removes the route of the HEAD requests.
 */
final class HeadRequests {

	private static final int CALLERS = 8;

	private static final long LENGTH_MS = 12_000;

	private static final long CHANGE_AT_MS = 5_000;

	private static final int TIMEOUT_MS = 1_000;

	private static final String TREE_ROUTE = Deployment.route("tree", "/tree/", "idempotent", "registry", TIMEOUT_MS, 2,
			"");

	private static final String GROVE_ROUTE = Deployment.route("grove", "/grove/", "idempotent", "registry", TIMEOUT_MS,
			2, "");

	private static final AtomicInteger SENT = new AtomicInteger();

	private static final AtomicInteger RUN = new AtomicInteger();

	private static final AtomicInteger ANSWERED = new AtomicInteger();

	public static void main(String[] arguments) {
		Case.run(arguments[0], HeadRequests::isRuleBroken);
	}

	private static boolean isRuleBroken(Deployment deployment, Record record) throws Exception {
		deployment.configure(1, TREE_ROUTE + "," + GROVE_ROUTE, Deployment.service("registry"));
		for (int index = 1; index <= 2; index++) {
			deployment.register(new Server("i-registry-" + index, HeadRequests::answer), "registry", "");
		}
		Deployment.Daemon daemon = deployment.startDaemon("edge-1", "zone-a");
		long start = System.nanoTime();
		AtomicInteger mixed = new AtomicInteger();
		AtomicInteger sound = new AtomicInteger();
		List<Thread> threads = new ArrayList<>();
		for (int index = 0; index < CALLERS; index++) {
			threads.add(Deployment.startThread("caller", () -> {
				Caller caller = new Caller(daemon.callers);
				while (System.nanoTime() - start < LENGTH_MS * 1_000_000) {
					boolean answered = call(caller, record);
					(answered ? sound : mixed).incrementAndGet();
					Deployment.sleep(100);
				}
			}));
		}
		Deployment.sleep(CHANGE_AT_MS);
		if (Case.isTroubled()) {
			deployment.configure(2, TREE_ROUTE, Deployment.service("registry"));
			record.add("configuration 2 is acknowledged; it has no route for /grove/");
		}
		for (Thread thread : threads) {
			thread.join();
		}
		record.add("requests sent: " + SENT + ", run: " + RUN + ", answered so that it could be read: " + ANSWERED);
		record.add("pairs of requests with their answers: " + sound + ", with bytes that are no answer: " + mixed);
		System.out.println("sound " + sound + ", mixed " + mixed);
		return mixed.get() > 0;
	}

	private static void answer(Server.Request request) throws IOException {
		RUN.incrementAndGet();
		byte[] body = Server.bytes("tree of " + request.attempt());
		if (request.head().first().startsWith("HEAD ")) {
			request.out()
				.write(Server.bytes(Server.signedHead(request.head()) + "Content-Length: " + body.length + "\r\n\r\n"));
			request.out().flush();
			return;
		}
		request.answer(body);
	}

	// Sends a HEAD and a GET request; tells whether each was followed by its answer only.
	private static boolean call(Caller caller, Record record) {
		String attempt = Caller.newAttempt();
		try {
			SENT.incrementAndGet();
			Protocol.Head head = caller.callHead("/grove/1", Caller.newAttempt(), TIMEOUT_MS);
			ANSWERED.incrementAndGet();
			Deployment.sleep(20);
			SENT.incrementAndGet();
			Caller.Answer answer = caller.call("GET", "/tree/1", attempt, TIMEOUT_MS, new byte[0]);
			ANSWERED.incrementAndGet();
			String expected = "tree of " + attempt;
			if (answer.head().status() == 200 && !new String(answer.body()).equals(expected)) {
				record.add("GET " + attempt + " got the body " + new String(answer.body()));
				return false;
			}
			record.add("HEAD answered " + head.status() + ", GET " + attempt + " answered " + answer.head().status());
			return true;
		}
		catch (Protocol.NoAnswerException ex) {
			record.add("GET " + attempt + " got bytes that are no answer: " + ex.getMessage());
			close(caller);
			return false;
		}
		catch (IOException ex) {
			record.add("GET " + attempt + " " + ex.getMessage());
			close(caller);
			return true;
		}
	}

	private static void close(Caller caller) {
		try {
			caller.close();
		}
		catch (IOException ex) {
			// Closed already.
		}
	}

}
