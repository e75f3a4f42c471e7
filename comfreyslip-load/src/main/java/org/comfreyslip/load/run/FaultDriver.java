package org.comfreyslip.load.run;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpReply;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.load.embedded.EmbeddedDeployment;
import org.comfreyslip.load.scenario.FaultPlan;
import org.comfreyslip.load.scenario.FaultPlan.FaultAction;

/**
 * Performs the faults of a scenario at their times.
 */
final class FaultDriver {

	private static final int LIMIT_MILLIS = 5_000;

	private final HttpTransport http;

	private final EmbeddedDeployment deployment;

	private final RunClock clock;

	private final List<FaultEvent> events = Collections.synchronizedList(new ArrayList<>());

	/**
	 * Creates a driver.
	 * @param http the HTTP client
	 * @param deployment the embedded processes, or {@code null}
	 * @param clock the run's clock
	 */
	FaultDriver(HttpTransport http, EmbeddedDeployment deployment, RunClock clock) {
		this.http = http;
		this.deployment = deployment;
		this.clock = clock;
	}

	static List<FaultAction> sorted(List<FaultPlan> plans) {
		return plans.stream()
			.flatMap((plan) -> plan.actions().stream())
			.sorted(Comparator.comparingLong(FaultAction::atMillis))
			.toList();
	}

	List<FaultEvent> events() {
		return List.copyOf(this.events);
	}

	void perform(FaultAction action) {
		if (action.restart()) {
			this.deployment.restart(action.target());
			return;
		}
		long at = this.clock.nanos();
		if (action.plan().mode().equals(FaultPlan.KILL)) {
			kill(action.target());
		}
		else {
			order(action);
		}
		this.events.add(new FaultEvent(action.plan().name(), action.target(), action.plan().mode(), at));
	}

	private void kill(String target) {
		if (this.deployment == null) {
			throw new IllegalStateException("mode KILL needs an embedded run");
		}
		this.deployment.kill(target);
	}

	private void order(FaultAction action) {
		FaultPlan plan = action.plan();
		String address = (this.deployment != null) ? this.deployment.address(action.target()) : action.target();
		Map<String, Object> order = Map.of("mode", plan.mode(), "forMillis", plan.forMillis(), "probability",
				plan.probability(), "delayMillis", plan.delayMillis());
		HttpReply reply = this.http.send(HttpCall.post(address, "/faults", order).within(LIMIT_MILLIS)).join();
		if (!reply.isSuccess()) {
			throw new IllegalStateException("fault " + plan.name() + " refused with status " + reply.status());
		}
	}

}
