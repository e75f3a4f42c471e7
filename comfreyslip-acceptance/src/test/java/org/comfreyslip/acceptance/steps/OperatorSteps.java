package org.comfreyslip.acceptance.steps;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.comfreyslip.acceptance.CommandResult;
import org.comfreyslip.acceptance.OperatorSite;
import org.comfreyslip.operator.ExitCode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Steps of operators who use the command.
 */
public final class OperatorSteps {

	private static final Pattern QUOTED = Pattern.compile("\"([^\"]+)\"");

	private final OperatorSite site = SiteHooks.site();

	private JsonNode base;

	private String text;

	private CommandResult result;

	private List<CommandResult> race;

	private String request;

	/**
	 * Takes the text in force and adds sections.
	 * @param sections the sections
	 */
	@Given("neza edits the text in force and adds")
	public void edit(String sections) {
		this.base = inForce();
		this.text = this.base.path("text").asText() + "\n" + sections + "\n";
	}

	/**
	 * Checks the edited text.
	 */
	@When("neza checks the text")
	public void check() {
		this.result = this.site.run("check", file("neza", this.text));
	}

	/**
	 * Compares the exit code.
	 * @param name the exit code's name
	 */
	@Then("the command ends as {word}")
	public void endsAs(String name) {
		assertThat(this.result.exitCode()).as(this.result.toString()).isEqualTo(ExitCode.valueOf(name));
	}

	/**
	 * Looks for texts in the output.
	 * @param texts the texts in quotes
	 */
	@Then("^it names (\".*\")$")
	public void names(String texts) {
		Matcher matcher = QUOTED.matcher(texts);
		while (matcher.find()) {
			assertThat(this.result.out()).contains(matcher.group(1));
		}
	}

	/**
	 * Checks that the edited text did not come into force.
	 */
	@Then("no version was added")
	public void noVersionAdded() {
		assertThat(inForce()).isEqualTo(this.base);
	}

	/**
	 * Takes the version in force as the common base.
	 */
	@Given("neza and odile start from the same version")
	public void startFromSameVersion() {
		this.base = inForce();
	}

	/**
	 * Runs two proposals at once.
	 */
	@When("both propose a change at the same time")
	public void race() {
		List<CompletableFuture<CommandResult>> runs = List.of("neza", "odile")
			.stream()
			.map((name) -> this.site.start(proposal(name, this.base.path("text").asText() + "\n# " + name + "\n")))
			.toList();
		this.race = runs.stream().map(CompletableFuture::join).toList();
	}

	/**
	 * Checks that exactly one proposal came into force.
	 */
	@Then("one change is accepted")
	public void oneIsAccepted() {
		assertThat(this.race).extracting(CommandResult::exitCode)
			.containsExactlyInAnyOrder(ExitCode.OK, ExitCode.REFUSED);
		assertThat(inForce().path("number").asLong()).isEqualTo(this.base.path("number").asLong() + 1);
		assertThat(inForce().path("text").asText()).endsWith("# " + winner() + "\n");
	}

	/**
	 * Checks the message to the loser.
	 */
	@Then("the other operator is told who won")
	public void loserIsToldWhoWon() {
		CommandResult loser = this.race.get(this.race.get(0).exitCode().equals(ExitCode.OK) ? 1 : 0);
		long number = this.base.path("number").asLong() + 1;
		assertThat(loser.out()).contains("won by version " + number + " by " + winner() + " ");
	}

	/**
	 * Proposes the edited text and waits until it is in force.
	 */
	@When("neza proposes the text and waits for it")
	public void proposeAndWait() {
		this.result = this.site.run(proposal("neza", this.text));
		endsAs("OK");
		long number = this.base.path("number").asLong() + 1;
		this.result = this.site.runAt(this.site.daemons(), "wait", String.valueOf(number));
		endsAs("OK");
	}

	/**
	 * Compares version and text of each daemon.
	 */
	@Then("each daemon shows the new version and its text")
	public void daemonsShowText() {
		JsonNode version = inForce();
		assertThat(version.path("number").asLong()).isEqualTo(this.base.path("number").asLong() + 1);
		this.result = this.site.runAt(this.site.daemons(), "status");
		for (String daemon : this.site.daemons()) {
			assertThat(this.result.out()).contains(daemon + "  running  ready  version " + version.path("number"));
			JsonNode config = this.site.admin(daemon, "/admin/config");
			assertThat(config.path("version").path("digest")).isEqualTo(version.path("digest"));
			assertThat(config.path("text").asText()).isEqualTo(this.text);
		}
	}

	/**
	 * Checks that a service is part of the configuration in use.
	 * @param service the service
	 */
	@Then("each daemon knows the service {string}")
	public void daemonsKnow(String service) {
		for (String daemon : this.site.daemons()) {
			assertThat(this.site.admin(daemon, "/admin/impact/" + service).path("service").asText()).isEqualTo(service);
		}
	}

	/**
	 * Sends a prompt.
	 * @param daemon the daemon that takes it
	 */
	@Given("a caller got an answer from {word}")
	public void answered(String daemon) {
		this.request = this.site.answered(daemon, "What is the yield strength of heat 12?");
	}

	/**
	 * Asks for the record of the request.
	 */
	@When("neza asks all daemons to explain the request")
	public void explain() {
		this.result = this.site.runAt(this.site.daemons(), "explain", this.request);
	}

	/**
	 * Asks for the impact.
	 * @param service the service
	 */
	@When("neza asks for the impact of {string}")
	public void impact(String service) {
		this.result = this.site.runAt(this.site.daemons(), "impact", service);
	}

	/**
	 * Compares the command's impact with that of each daemon.
	 * @param service the service
	 */
	@Then("the daemons report the same impact of {string}")
	public void daemonsReportImpact(String service) {
		JsonNode impact = this.site.runAt(this.site.daemons(), "impact", service, "--json").json();
		for (String daemon : this.site.daemons()) {
			JsonNode report = this.site.admin(daemon, "/admin/impact/" + service);
			assertThat(report.path("dependents")).isEqualTo(impact.path("dependents"));
			assertThat(report.path("root_causes")).isEqualTo(impact.path("rootCauses"));
		}
	}

	private String[] proposal(String author, String proposed) {
		String state = this.base.path("number") + ":" + this.base.path("digest").asText().substring(0, 12);
		return new String[] { "propose", file(author, proposed), "--base", state, "--author", author };
	}

	private String winner() {
		return this.race.get(0).exitCode().equals(ExitCode.OK) ? "neza" : "odile";
	}

	private String file(String name, String content) {
		return this.site.write(name + ".ini", content);
	}

	private JsonNode inForce() {
		return this.site.run("show", "--json").json();
	}

}
