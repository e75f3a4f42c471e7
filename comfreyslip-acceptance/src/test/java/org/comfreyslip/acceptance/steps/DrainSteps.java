package org.comfreyslip.acceptance.steps;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.comfreyslip.acceptance.CommandResult;
import org.comfreyslip.acceptance.OperatorSite;
import org.comfreyslip.operator.ExitCode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Steps of a daemon's shutdown.
 */
public final class DrainSteps {

	private static final String DAEMON = "daemon-3";

	private static final String SERVICE = "slow";

	private final OperatorSite site = SiteHooks.site();

	private CompletableFuture<String> open;

	/**
	 * Adds a service and a daemon to the deployment.
	 */
	@Given("a slow service and one more daemon")
	public void addServiceAndDaemon() {
		JsonNode base = this.site.run("show", "--json").json();
		String file = this.site.write("slow.ini", base.path("text").asText() + "\n" + this.site.startService(SERVICE));
		CommandResult result = this.site.run("propose", file, "--base", base.path("number").asText(), "--author",
				"neza");
		assertThat(result.exitCode()).as(result.toString()).isEqualTo(ExitCode.OK);
		this.site.startDaemon(DAEMON);
		this.site.await(DAEMON,
				(status) -> status.path("config").path("number").asLong() > base.path("number").asLong());
	}

	/**
	 * Opens a call that ends when the service's process is continued.
	 */
	@Given("a call to the slow service through that daemon is open")
	public void openCall() {
		this.site.pause(SERVICE);
		this.open = this.site.call(DAEMON, SERVICE, "C-open");
		this.site.await(DAEMON, (status) -> status.path("open_requests").asInt() == 1);
	}

	/**
	 * Drains the daemon.
	 */
	@When("neza drains that daemon")
	public void drain() {
		CommandResult result = this.site.runAt(List.of(DAEMON), "drain", "--key-file", this.site.keyFile());
		assertThat(result.exitCode()).as(result.toString()).isEqualTo(ExitCode.OK);
		this.site.await(DAEMON, (status) -> status.path("state").asText().equals("refusing"));
	}

	/**
	 * Sends a call to the draining daemon.
	 */
	@Then("it refuses new calls as not run")
	public void refusesNewCalls() {
		assertThat(this.site.call(DAEMON, SERVICE, "C-new").join()).startsWith("503 ")
			.contains("\"DRAINING\"", "\"not_run\":true");
		assertThat(this.open).isNotDone();
	}

	/**
	 * Lets the service respond to the open call.
	 */
	@Then("the open call gets its whole response")
	public void openCallEnds() {
		this.site.resume(SERVICE);
		assertThat(this.open.join()).startsWith("2").contains("\"C-open\"").endsWith("}");
	}

	/**
	 * Checks the end of the process.
	 */
	@Then("the daemon ends without cutting off a request")
	public void daemonEnds() {
		assertThat(this.site.awaitExit(DAEMON)).isZero();
		assertThat(this.site.awaitLog(DAEMON, "CS-1003")).contains("shutdown ended, 0 requests cut off");
	}

	/**
	 * Lets the service continue if a step before failed.
	 */
	@After
	public void resumeService() {
		if (this.open != null) {
			this.site.resume(SERVICE);
		}
	}

}
