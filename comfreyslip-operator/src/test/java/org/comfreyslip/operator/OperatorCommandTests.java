package org.comfreyslip.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.comfreyslip.clients.record.ConfigRecordCodec;
import org.comfreyslip.coordination.config.ConfigRecord.Proposal;
import org.comfreyslip.coordination.config.ConfigVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against wrong exit codes, results mixed with progress, and queries that hide an
 * unreachable daemon.
 */
class OperatorCommandTests {

	private static final String TEXT = """
			[comfreyslip]
			format = 1
			[service archive]
			depends = index
			[service index]
			""";

	private final LogServer log = new LogServer();

	private final DaemonServer first = new DaemonServer("");

	private final DaemonServer second = new DaemonServer("");

	private final CommandRunner command = new CommandRunner();

	@AfterEach
	void stop() {
		this.log.close();
		this.first.close();
		this.second.close();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "unknown", "check", "check a b", "check --nothing a", "check --da 1", "wait", "wait x",
			"status", "status --daemon host:1", "drain", "drain --daemon 127.0.0.1:1 --daemon 127.0.0.1:2", "show",
			"completion zsh", "check no-such-file.ini", "hash-credential" })
	void wrongArgumentsAreAUsageErrorWithoutOutput(String line) {
		assertThat(this.command.run(line.isEmpty() ? new String[0] : line.split(" "))).isEqualTo(ExitCode.USAGE);
		assertThat(this.command.out()).isEmpty();
		assertThat(this.command.err()).contains("remedy: see 'comfreyslip --help'");
	}

	@Test
	void theHelpListsEachSubcommandOptionAndExitCode() {
		assertThat(this.command.run("--help")).isEqualTo(ExitCode.OK);
		Subcommands.ALL.forEach((subcommand) -> assertThat(this.command.out()).contains(subcommand.summary()));
		assertThat(this.command.out()).contains("--json").contains("  7  ");
		assertThat(this.command.run("propose", "--help")).isEqualTo(ExitCode.OK);
		assertThat(this.command.out()).contains("--base VERSION").contains("--log ADDRESS");
		assertThat(this.command.run("--version")).isEqualTo(ExitCode.OK);
		assertThat(this.command.out()).startsWith("comfreyslip ");
	}

	@Test
	void theCompletionScriptNamesEachSubcommand() {
		assertThat(this.command.run("completion", "bash")).isEqualTo(ExitCode.OK);
		Subcommands.ALL.forEach((subcommand) -> assertThat(this.command.out()).contains(subcommand.name()));
		assertThat(this.command.out()).contains("complete -o filenames -F _comfreyslip comfreyslip");
	}

	@Test
	void checkPrintsTheFaultsAndDistinguishesThemByExitCode() throws IOException {
		this.command.input(TEXT);
		assertThat(this.command.run("check", "-")).isEqualTo(ExitCode.OK);
		this.command.input(TEXT + "[service index]\nnever = 1\n");
		assertThat(this.command.run("check", "-")).isEqualTo(ExitCode.INVALID_TEXT);
		assertThat(this.command.out().lines()).hasSize(2);
		assertThat(this.command.run("check", "-", "--json")).isEqualTo(ExitCode.INVALID_TEXT);
		assertThat(new ObjectMapper().readTree(this.command.out()).at("/faults/0/section").asText())
			.isEqualTo("service index");
	}

	@Test
	void aFileInAnotherEncodingIsAnInvalidText(@TempDir Path directory) throws IOException {
		Path file = Files.write(directory.resolve("ops.ini"), new byte[] { '[', (byte) 0xe8, ']' });
		assertThat(this.command.run("check", file.toString())).isEqualTo(ExitCode.INVALID_TEXT);
		assertThat(this.command.err()).contains("UTF-8");
	}

	@Test
	void hashCredentialMatchesAKnownDigest() {
		this.command.input("abc\n");
		assertThat(this.command.run("hash-credential")).isEqualTo(ExitCode.OK);
		assertThat(this.command.out().strip())
			.isEqualTo("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
	}

	@Test
	void waitReportsProgressUntilAllDaemonsHaveTheVersion() {
		this.first.setVersion(3);
		this.command.onSleep(() -> this.second.setVersion(4));
		assertThat(this.command.run("wait", "3", "--daemon", this.first.address(), "--daemon", this.second.address()))
			.isEqualTo(ExitCode.OK);
		assertThat(this.command.err().lines()).containsExactly("version 3 in force on 1 of 2 daemons",
				"version 3 in force on 2 of 2 daemons");
		assertThat(this.command.out()).isEqualToIgnoringNewLines("version 3 is in force");
	}

	@Test
	void waitNamesTheDaemonsThatAreBehindWhenTimeIsUp() {
		this.first.setVersion(3);
		this.second.close();
		assertThat(this.command.run("wait", "3", "--timeout-ms", "900", "--daemon", this.first.address(), "--daemon",
				this.second.address()))
			.isEqualTo(ExitCode.TIMED_OUT);
		assertThat(this.command.out()).contains(this.second.address()).doesNotContain(this.first.address());
	}

	@Test
	void statusShowsTheReachableDaemonsAndFailsForTheOthers() {
		this.first.setDown("archive");
		this.second.close();
		assertThat(this.command.run("status", "--daemon", this.second.address(), "--daemon", this.first.address()))
			.isEqualTo(ExitCode.UNREACHABLE);
		assertThat(this.command.out()).contains("cannot be reached")
			.contains("d1  serving  ready  version 0")
			.contains("down: archive");
	}

	@Test
	void explainAsksEachDaemonAndEncodesTheId() {
		assertThat(this.command.run("explain", "r/1", "--daemon", this.first.address(), "--json"))
			.isEqualTo(ExitCode.OK);
		assertThat(this.command.out()).isEqualToIgnoringNewLines("{\"request\":\"r/1\"}");
		assertThat(this.command.run("explain", "r2", "--daemon", this.first.address())).isEqualTo(ExitCode.NOT_FOUND);
		this.second.close();
		assertThat(
				this.command.run("explain", "r2", "--daemon", this.second.address(), "--daemon", this.first.address()))
			.isEqualTo(ExitCode.UNREACHABLE);
	}

	@Test
	void drainChangesOneDaemon() {
		assertThat(this.command.run("drain", "--daemon", this.first.address())).isEqualTo(ExitCode.OK);
		assertThat(this.first.isDraining()).isTrue();
		assertThat(this.second.isDraining()).isFalse();
	}

	@Test
	void theOperatorsKeyIsSentFromAFile(@TempDir Path directory) throws IOException {
		Path key = Files.writeString(directory.resolve("key"), "secret\n");
		try (DaemonServer locked = new DaemonServer("secret")) {
			assertThat(this.command.run("drain", "--daemon", locked.address())).isEqualTo(ExitCode.UNAUTHENTICATED);
			assertThat(locked.isDraining()).isFalse();
			assertThat(this.command.run("drain", "--daemon", locked.address(), "--key-file", key.toString()))
				.isEqualTo(ExitCode.OK);
		}
	}

	@Test
	void impactNamesDependentsAndTheRootCause() {
		this.command.input(TEXT);
		this.command.run("propose", "-", "--base", "0", "--log", this.log.address());
		this.first.setDown("index");
		assertThat(this.command.run("impact", "index", "--log", this.log.address(), "--daemon", this.first.address()))
			.isEqualTo(ExitCode.OK);
		assertThat(this.command.out().lines()).containsExactly("service archive depends on it",
				"root cause: service index is down");
		assertThat(this.command.run("impact", "mail", "--log", this.log.address())).isEqualTo(ExitCode.NOT_FOUND);
	}

	@Test
	void impactWithoutAConfigurationIsNotFound() {
		assertThat(this.command.run("impact", "archive", "--log", this.log.address())).isEqualTo(ExitCode.NOT_FOUND);
		assertThat(this.command.err()).contains("no configuration was accepted yet");
	}

	@Test
	void namesFromTheLogDoNotReachTheTerminalAsControlSequences() {
		this.log
			.append(ConfigRecordCodec.encode(new Proposal("p", new ConfigVersion(9, 0, ""), "eve\u001b[2J", "", "")));
		assertThat(this.command.run("history", "--log", this.log.address())).isEqualTo(ExitCode.OK);
		assertThat(this.command.out()).contains("by eve\uFFFD[2J");
	}

	@Test
	void aKeyFileWithoutASingleKeyIsNotSent(@TempDir Path directory) throws IOException {
		Path key = Files.writeString(directory.resolve("key"), "two keys\n");
		assertThat(this.command.run("drain", "--daemon", this.first.address(), "--key-file", key.toString()))
			.isEqualTo(ExitCode.USAGE);
		assertThat(this.command.err()).doesNotContain("two keys");
		assertThat(this.first.isDraining()).isFalse();
	}

	@Test
	void diffListsChangesAndIgnoresOrderAndComments() {
		this.command.input(TEXT);
		this.command.run("propose", "-", "--base", "0", "--log", this.log.address());
		this.command.input("# reordered\n[service index]\ntimeout-ms = 5\n[comfreyslip]\nformat = 1\n[service mail]\n"
				+ "[service archive]\ndepends = mail\n");
		assertThat(this.command.run("diff", "-", "--log", this.log.address())).isEqualTo(ExitCode.OK);
		assertThat(this.command.out().lines()).containsExactly("~ [service archive] depends = index -> mail",
				"+ [service index] timeout-ms = 5", "+ [service mail]");
	}

	@Test
	void anUnreachableLogHasItsOwnExitCodeAlsoInJson() throws IOException {
		this.log.close();
		assertThat(this.command.run("show", "--json", "--log", this.log.address())).isEqualTo(ExitCode.UNREACHABLE);
		assertThat(new ObjectMapper().readTree(this.command.out()).at("/error/code").asText()).isEqualTo("UNREACHABLE");
	}

	@Test
	void aVersionThatWasNeverAcceptedIsNotFound() {
		assertThat(this.command.run("show", "--log", this.log.address())).isEqualTo(ExitCode.NOT_FOUND);
		assertThat(this.command.run("show", "7", "--log", this.log.address())).isEqualTo(ExitCode.NOT_FOUND);
	}

}
