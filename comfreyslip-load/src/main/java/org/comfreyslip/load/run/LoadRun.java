package org.comfreyslip.load.run;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.load.embedded.EmbeddedDeployment;
import org.comfreyslip.load.scenario.Arrival;
import org.comfreyslip.load.scenario.FaultPlan.FaultAction;
import org.comfreyslip.load.scenario.Scenario;
import org.comfreyslip.load.scenario.TargetPlan;

/**
 * One open-loop run: every request is sent at its intended time, whether or not earlier
 * ones have been answered.
 */
public final class LoadRun {

	private static final double NANOS_PER_MILLI = 1e6;

	private final HttpTransport http;

	private final Scenario scenario;

	private final TargetPlan target;

	private final EmbeddedDeployment deployment;

	private final ExecutorService readers = Executors.newCachedThreadPool(LoadRun::daemonThread);

	private long latenessMax;

	/**
	 * Creates a run.
	 * @param http the HTTP client
	 * @param scenario the scenario
	 * @param target what is called
	 * @param deployment the embedded processes, or {@code null}
	 */
	public LoadRun(HttpTransport http, Scenario scenario, TargetPlan target, EmbeddedDeployment deployment) {
		this.http = http;
		this.scenario = scenario;
		this.target = target;
		this.deployment = deployment;
	}

	/**
	 * Sends all requests and waits for their answers.
	 * @param arrivals the requests in the order of time
	 * @param atWarmUpEnd called at the end of the warm-up
	 * @param atEnd called at the end of the time of arrivals
	 * @return what was seen
	 */
	public RunResult run(List<Arrival> arrivals, Runnable atWarmUpEnd, Runnable atEnd) {
		RunClock clock = new RunClock();
		FaultDriver faults = new FaultDriver(this.http, this.deployment, clock);
		ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, LoadRun::daemonThread);
		List<Future<?>> tasks = new ArrayList<>();
		for (FaultAction action : FaultDriver.sorted(this.scenario.faults())) {
			tasks.add(timer.schedule(() -> faults.perform(action), action.atMillis(), TimeUnit.MILLISECONDS));
		}
		tasks.add(timer.schedule(atWarmUpEnd, this.scenario.warmUpSeconds(), TimeUnit.SECONDS));
		tasks.add(timer.schedule(atEnd, this.scenario.durationSeconds(), TimeUnit.SECONDS));
		List<CompletableFuture<Observation>> calls = sendAll(arrivals, clock);
		List<Observation> observations = calls.stream().map(CompletableFuture::join).toList();
		tasks.forEach(LoadRun::await);
		timer.shutdown();
		this.readers.shutdown();
		return new RunResult(observations, faults.events(), this.latenessMax / NANOS_PER_MILLI);
	}

	private List<CompletableFuture<Observation>> sendAll(List<Arrival> arrivals, RunClock clock) {
		CompletionCaller completions = new CompletionCaller(this.http, this.target, clock, this.readers);
		ServiceCaller services = new ServiceCaller(this.http, this.target, this.scenario, clock);
		DirectCaller direct = new DirectCaller(this.http, this.target,
				(this.deployment != null) ? this.deployment.engineAddresses() : List.of(), clock);
		List<CompletableFuture<Observation>> calls = new ArrayList<>();
		for (Arrival arrival : arrivals) {
			sleepUntil(arrival.atNanos(), clock);
			this.latenessMax = Math.max(this.latenessMax, clock.nanos() - arrival.atNanos());
			CompletableFuture<Observation> call = switch (arrival.kind()) {
				case UNARY, STREAMED -> completions.call(arrival);
				case STAMP -> services.stamp(arrival);
				case LOOK_UP -> services.lookUp(arrival);
				case DIRECT -> CompletableFuture.supplyAsync(() -> direct.call(arrival), this.readers);
			};
			calls.add(call);
		}
		return calls;
	}

	private static void sleepUntil(long nanos, RunClock clock) {
		try {
			long left = nanos - clock.nanos();
			if (left > 0) {
				TimeUnit.NANOSECONDS.sleep(left);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	private static void await(Future<?> task) {
		try {
			task.get();
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException(ex.getCause().getMessage(), ex.getCause());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	private static Thread daemonThread(Runnable task) {
		Thread thread = new Thread(task, "load");
		thread.setDaemon(true);
		return thread;
	}

}
