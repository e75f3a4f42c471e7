package org.comfreyslip.daemon;

import java.util.Random;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.hosts.HostListClient;
import org.comfreyslip.clients.log.LogClient;
import org.comfreyslip.clients.weights.WeightStoreClient;
import org.comfreyslip.coordination.audit.AuditChain;
import org.comfreyslip.coordination.claim.IdempotencyKeyPolicy;
import org.comfreyslip.coordination.config.ConfigSnapshot;
import org.comfreyslip.coordination.drain.DrainPhase;
import org.comfreyslip.coordination.membership.EndpointNotification;
import org.comfreyslip.daemon.admin.AdminServer;
import org.comfreyslip.daemon.answer.AnswerMetrics;
import org.comfreyslip.daemon.answer.AnswerService;
import org.comfreyslip.daemon.audit.AuditLog;
import org.comfreyslip.daemon.audit.AuditTrail;
import org.comfreyslip.daemon.claim.ClaimLog;
import org.comfreyslip.daemon.claim.ClaimMetrics;
import org.comfreyslip.daemon.claim.ProtectedCallService;
import org.comfreyslip.daemon.config.ConfigCheckpointer;
import org.comfreyslip.daemon.config.ConfigFollower;
import org.comfreyslip.daemon.config.ConfigHolder;
import org.comfreyslip.daemon.http.Admission;
import org.comfreyslip.daemon.http.CallerServer;
import org.comfreyslip.daemon.http.RequestMetrics;
import org.comfreyslip.daemon.journal.RequestJournal;
import org.comfreyslip.daemon.order.MaintenanceLease;
import org.comfreyslip.daemon.order.PlacementService;
import org.comfreyslip.daemon.peer.PeerNode;
import org.comfreyslip.daemon.route.EngineClients;
import org.comfreyslip.daemon.route.LoadProber;
import org.comfreyslip.daemon.route.RoutingTables;
import org.comfreyslip.settings.DaemonSection;
import org.comfreyslip.settings.DaemonSettings;

/**
 * The router daemon: creates its services, starts them and shuts them down.
 */
public final class Daemon implements AutoCloseable {

	/** Timeout of calls to the log, the host list and the weight store. */
	private static final int PLATFORM_TIMEOUT_MILLIS = 2_000;

	/** How often the counts of refused requests are written to the audit trail. */
	private static final long REFUSAL_AUDIT_SECONDS = 60;

	/** How long closing waits for the lease and the audit records to reach the log. */
	private static final long STOP_TIMEOUT_MILLIS = 500;

	private static final int JOURNAL_CAPACITY = 10_000;

	private static final int WORKER_THREADS = 32;

	private static final int TIMER_THREADS = 2;

	private static final long DRAIN_CHECK_MILLIS = 50;

	/** Least time after the drain, in which the last response bytes are sent. */
	private static final long FLUSH_MIN_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/** How long the end of the process waits at most for claim records to be written. */
	private static final long FLUSH_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

	private final DaemonSettings settings;

	private final LongSupplier clock = System::nanoTime;

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(TIMER_THREADS,
			daemonThreads("timer"));

	private final ExecutorService workers = Executors.newFixedThreadPool(WORKER_THREADS, daemonThreads("worker"));

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final HttpTransport http = new HttpTransport();

	private final ConfigHolder configHolder = new ConfigHolder();

	private final RoutingTables tables;

	private final DrainController drain;

	private final Admission admission = new Admission(new Random());

	private final PeerNode peers;

	private final AuditLog auditLog;

	private final AuditTrail audit;

	private final MaintenanceLease lease;

	private final ConfigCheckpointer checkpointer;

	private final ConfigFollower follower;

	private final ClaimLog claims;

	private final AnswerService answers;

	private final CallerServer callerServer;

	private final AdminServer adminServer;

	/**
	 * When the drain ended on the monotonic clock, or 0 before. Read and written by
	 * {@link #checkDrain} only, which never runs on two threads at a time.
	 */
	private volatile long drainEndedAtNanos;

	private final CountDownLatch endLatch = new CountDownLatch(1);

	/**
	 * Creates and starts a daemon.
	 * @param settings the settings, already checked
	 */
	public Daemon(DaemonSettings settings) {
		this.settings = settings;
		DaemonSection self = settings.daemon();
		this.tables = new RoutingTables(self.dataCentre(), new Random());
		this.drain = new DrainController(TimeUnit.MILLISECONDS.toNanos(self.balancerLagMillis()),
				TimeUnit.MILLISECONDS.toNanos(self.drainDeadlineMillis()));
		LogClient log = new LogClient(this.http, settings.platform().log(), PLATFORM_TIMEOUT_MILLIS);
		IdempotencyKeyPolicy policy = RetentionRules.keyPolicy(settings.platform().logRetentionMillis());
		String runId = self.name() + "/" + UUID.randomUUID();
		this.claims = new ClaimLog(log, runId, policy, this.timer, this.workers, this.clock, System::currentTimeMillis);
		this.configHolder.addListener((config) -> this.tables.apply(config, this.clock.getAsLong()));
		RequestJournal journal = new RequestJournal(JOURNAL_CAPACITY);
		this.peers = new PeerNode(self, new PeerNode.Parts(this.configHolder, this::onNewerConfig, this::followsPeers,
				journal, this.admission, this.tables, this::onEndpointNotification, this.timer, this.clock));
		this.auditLog = new AuditLog(log, new AuditChain(self.name(), this.peers.self().incarnation()),
				System::currentTimeMillis);
		Gauge.builder("comfreyslip.live.daemons", this.peers, PeerNode::liveDaemons).register(this.registry);
		FunctionCounter.builder("comfreyslip.peer.sent.bytes", this.peers, PeerNode::sentBytes).register(this.registry);
		FunctionCounter.builder("comfreyslip.peer.received.bytes", this.peers, PeerNode::receivedBytes)
			.register(this.registry);
		this.audit = new AuditTrail(this.auditLog, this::isConfigAuditor);
		this.lease = new MaintenanceLease(log, runId, this.peers::isLogReader, this.audit::onLeaseChanged, this.clock);
		this.follower = new ConfigFollower(log, this.configHolder, PeerNode.otherPeers(self), this.peers, this.timer,
				this.peers::isLogReader, this.audit::onConfigDecided);
		this.checkpointer = new ConfigCheckpointer(log, settings.platform().logRetentionMillis(), this.lease::isValid,
				this.follower::state, this.clock);
		EngineClients engines = new EngineClients(this.http, this.tables);
		this.answers = new AnswerService(this.tables, engines, this.timer, new AnswerMetrics(this.registry),
				this.clock);
		this.callerServer = new CallerServer(self.httpListen(), settings.tls(), callerDependencies(policy, journal));
		this.adminServer = new AdminServer(self.adminListen(), settings.tls(),
				new AdminServer.Parts(self.name(), this.configHolder, this.claims::isFirstReadEnded, this.drain,
						this::startDrain, this.tables, journal, this.peers, this.registry, this.clock));
		startBackgroundTasks(engines);
		DaemonEvent.STARTED.log(self.name(), self.httpListen(), self.adminListen());
	}

	/**
	 * Begins the shutdown; a second call ends it at once.
	 */
	public void startDrain() {
		DaemonEvent.DRAIN_STARTED.log(this.drain.openRequests());
		this.drain.onShutdownSignal(this.clock.getAsLong());
		this.audit.onDrainPhaseReached(this.settings.daemon().name(), this.drain.phase().name());
		this.peers.announceDrain();
	}

	/**
	 * Returns the part of this daemon that exchanges messages with its peers.
	 * @return the peer node
	 */
	PeerNode peers() {
		return this.peers;
	}

	/**
	 * Returns the maintenance lease.
	 * @return the lease, held by this daemon or not
	 */
	MaintenanceLease lease() {
		return this.lease;
	}

	/**
	 * Waits until the shutdown has ended.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void awaitEnd() throws InterruptedException {
		this.endLatch.await();
	}

	@Override
	public void close() {
		this.follower.stop();
		this.peers.close();
		this.lease.stop().completeOnTimeout(null, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join();
		this.auditLog.flush().completeOnTimeout(null, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join();
		this.claims.stop();
		this.callerServer.stop();
		this.adminServer.stop();
		this.timer.shutdownNow();
		this.workers.shutdownNow();
		this.http.close();
	}

	private CallerServer.Dependencies callerDependencies(IdempotencyKeyPolicy policy, RequestJournal journal) {
		ProtectedCallService protectedCalls = new ProtectedCallService(this.settings.daemon().name(), this.claims,
				policy, this.tables, this.http, this.timer, new ClaimMetrics(this.registry), this.clock,
				System::currentTimeMillis);
		return new CallerServer.Dependencies(this.configHolder, this.drain, this.admission, this.tables, journal,
				this.answers, protectedCalls, this.http, new RequestMetrics(this.registry), this.workers, new Random(),
				this.clock);
	}

	private void startBackgroundTasks(EngineClients engines) {
		this.peers.start();
		this.follower.start();
		this.lease.start(this.timer);
		this.checkpointer.start(this.timer);
		this.auditLog.start(this.timer);
		WeightStoreClient weights = new WeightStoreClient(this.http, this.settings.platform().weightStore(),
				PLATFORM_TIMEOUT_MILLIS);
		new PlacementService(new PlacementService.Parts(this.settings.daemon().name(), this.lease, this.configHolder,
				engines, this.tables, weights, this.audit::onOrderEnded, this.clock))
			.start(this.timer);
		this.timer.scheduleWithFixedDelay(() -> this.audit.onRequestsRejected(this.admission.takeRefusals()),
				REFUSAL_AUDIT_SECONDS, REFUSAL_AUDIT_SECONDS, TimeUnit.SECONDS);
		this.claims.start();
		HostListClient hosts = new HostListClient(this.http, this.settings.platform().hostList(),
				PLATFORM_TIMEOUT_MILLIS);
		new LoadProber(this.tables, engines, this.http, hosts, this.peers::isProber, this.timer, this.clock).start();
		this.timer.scheduleWithFixedDelay(this::checkDrain, DRAIN_CHECK_MILLIS, DRAIN_CHECK_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	private void onNewerConfig(ConfigSnapshot snapshot) {
		this.follower.onPeerState(snapshot);
	}

	private boolean followsPeers() {
		return !this.peers.isLogReader() || !this.follower.isLogAvailable();
	}

	private void onEndpointNotification(EndpointNotification notification) {
		this.audit.onEndpointStateChanged(notification);
	}

	private boolean isConfigAuditor() {
		return this.lease.isValid() || (!this.lease.hasHolder() && this.peers.isFirstLiveDaemon());
	}

	private void checkDrain() {
		if (this.drain.updatePhase(this.clock.getAsLong()) != DrainPhase.ENDED || this.endLatch.getCount() == 0) {
			return;
		}
		if (this.drainEndedAtNanos == 0) {
			this.drainEndedAtNanos = this.clock.getAsLong();
			DaemonEvent.DRAIN_ENDED.log(this.drain.openRequests());
			this.answers.abortAll();
			this.claims.abortAll();
		}
		// Outcomes that are not in the log when the process ends have to be looked up at
		// the service.
		long elapsedNanos = this.clock.getAsLong() - this.drainEndedAtNanos;
		boolean flushed = this.claims.isFlushed() && elapsedNanos >= FLUSH_MIN_NANOS;
		if (flushed || elapsedNanos >= FLUSH_TIMEOUT_NANOS) {
			this.endLatch.countDown();
		}
	}

	private static ThreadFactory daemonThreads(String name) {
		AtomicInteger number = new AtomicInteger();
		return (task) -> {
			Thread thread = new Thread(task, name + "-" + number.incrementAndGet());
			thread.setDaemon(true);
			return thread;
		};
	}

}
