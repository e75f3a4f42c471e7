package org.comfreyslip.operator;

import java.nio.charset.StandardCharsets;

import org.comfreyslip.clients.record.ConfigRecordCodec;
import org.comfreyslip.coordination.config.ConfigRecord.Checkpoint;
import org.comfreyslip.coordination.config.ConfigRecord.Proposal;
import org.comfreyslip.coordination.config.ConfigSnapshot;
import org.comfreyslip.coordination.config.ConfigVersion;
import org.comfreyslip.coordination.digest.Sha256;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an operator who is told the wrong outcome of a proposal, and against a
 * proposal that overwrites another operator's text.
 */
class ProposeSubcommandTests {

	private static final String FIRST = "[comfreyslip]\nformat = 1\n[service archive]\n";

	private static final String SECOND = FIRST + "[service index]\n";

	private final LogServer log = new LogServer();

	private final CommandRunner command = new CommandRunner();

	@BeforeEach
	void acceptFirstText() {
		this.command.input(FIRST);
		assertThat(propose("0")).isEqualTo(ExitCode.OK);
		this.command.input(SECOND);
	}

	@AfterEach
	void stop() {
		this.log.close();
	}

	@Test
	void anAcceptedProposalStatesItsOffsetAndIsInForce() {
		assertThat(propose("1")).isEqualTo(ExitCode.OK);
		assertThat(this.command.out()).isEqualToIgnoringNewLines("accepted at offset 1 as version 2");
		assertThat(run("show")).isEqualTo(ExitCode.OK);
		assertThat(this.command.out()).isEqualTo(SECOND);
		assertThat(run("show", "1")).isEqualTo(ExitCode.OK);
		assertThat(this.command.out()).isEqualTo(FIRST);
	}

	@Test
	void aTextIsShownExactlyAsProposed() {
		this.command.input(SECOND + "\n# end\n\n");
		propose("1");
		run("show");
		assertThat(this.command.out()).isEqualTo(SECOND + "\n# end\n\n");
	}

	@Test
	void anAuthorWithControlCharactersIsAUsageError() {
		assertThat(run("propose", "-", "--base", "1", "--author", "a\u001b")).isEqualTo(ExitCode.USAGE);
		assertThat(this.log.appends()).isEqualTo(1);
	}

	@Test
	void theLoserOfARaceIsToldWhoWon() {
		this.log.insertBeforeNextAppend(
				ConfigRecordCodec.encode(proposal("other", 1, FIRST, FIRST + "# odile\n", "odile")));
		assertThat(propose("1")).isEqualTo(ExitCode.REFUSED);
		assertThat(this.command.out()).contains("refused; won by version 2 by odile at offset 1").contains("--base 2");
	}

	@Test
	void anOldBaseIsRefusedWithoutAnAppend() {
		propose("1");
		assertThat(propose("1")).isEqualTo(ExitCode.REFUSED);
		assertThat(this.command.out()).contains("won by version 2 by neza");
		assertThat(this.log.appends()).isEqualTo(2);
	}

	@Test
	void aTextThatReturnsToAnEarlierStateDoesNotMakeAnOldBaseValid() {
		propose("1");
		this.command.input(FIRST);
		propose("2");
		this.command.input(SECOND);
		assertThat(propose("1")).isEqualTo(ExitCode.REFUSED);
	}

	@Test
	void aLostResponseIsSettledByReading() {
		this.log.loseResponses();
		assertThat(propose("1")).isEqualTo(ExitCode.OK);
		assertThat(this.command.err()).contains("unknown whether the log took the proposal");
		assertThat(this.command.out()).contains("accepted at offset 1");
		assertThat(this.log.appends()).isEqualTo(2);
	}

	@Test
	void aRecordThatAppearsLateIsFound() {
		this.log.loseRequests();
		Proposal late = proposal("p9", 1, FIRST, SECOND, "neza");
		this.command.onSleep(() -> this.log.append(ConfigRecordCodec.encode(late)));
		assertThat(propose("1", "--id", late.id())).isEqualTo(ExitCode.OK);
		assertThat(this.command.out()).contains("accepted at offset 1");
	}

	@Test
	void aLostRequestStaysUnknownAndIsSettledLaterUnderTheSameId() {
		this.log.loseRequests();
		assertThat(propose("1")).isEqualTo(ExitCode.UNKNOWN);
		assertThat(this.command.err()).contains("is unknown").contains("--base 1 --id ");
		String id = this.command.err().replaceAll("(?s).*--id ([0-9a-f-]+).*", "$1");
		Proposal lost = proposal(id.replaceFirst("-.*", ""), 1, FIRST, SECOND, "neza");
		assertThat(lost.id()).isEqualTo(id);
		int appends = this.log.appends();
		this.log.recover();
		this.log.append(ConfigRecordCodec.encode(lost));
		assertThat(propose("1", "--id", id)).isEqualTo(ExitCode.OK);
		assertThat(this.command.out()).contains("accepted at offset 1");
		assertThat(this.log.appends()).isEqualTo(appends);
		assertThat(this.log.distinctAppends()).isEqualTo(2);
	}

	@Test
	void aServerErrorAfterTheAppendLeavesTheOutcomeUnknown() {
		this.log.refuseAppends(500);
		assertThat(propose("1")).isEqualTo(ExitCode.UNKNOWN);
	}

	@ParameterizedTest
	@ValueSource(ints = { 400, 413, 429, 503 })
	void aRefusedAppendIsNotReportedAsUnknown(int status) {
		this.log.refuseAppends(status);
		assertThat(propose("1")).isEqualTo(ExitCode.UNREACHABLE);
		assertThat(this.command.err()).contains("refused the record with status " + status);
	}

	@Test
	void anInvalidTextIsNeverAppended() {
		this.command.input(SECOND + "[service index]\n");
		assertThat(propose("1")).isEqualTo(ExitCode.INVALID_TEXT);
		assertThat(this.log.appends()).isEqualTo(1);
	}

	@Test
	void aFormatThatADaemonDoesNotReadIsNotProposed() {
		try (DaemonServer daemon = new DaemonServer("")) {
			daemon.setFormat(-1);
			assertThat(propose("1", "--daemon", daemon.address())).isEqualTo(ExitCode.INVALID_TEXT);
			daemon.setFormat(1);
			assertThat(propose("1", "--daemon", daemon.address())).isEqualTo(ExitCode.OK);
		}
	}

	@Test
	void theBaseCanBeStatedAsShowPrintsIt() {
		run("show");
		String base = this.command.err().replaceAll("(?s)version ([0-9]+:[0-9a-f]+) .*", "$1");
		assertThat(propose(base)).isEqualTo(ExitCode.OK);
	}

	@Test
	void aBaseOfAnotherLogIsRefusedWithoutAnAppend() {
		assertThat(propose("1:" + Sha256.ofText("other").substring(0, 12))).isEqualTo(ExitCode.REFUSED);
		assertThat(propose("1:")).isEqualTo(ExitCode.USAGE);
		assertThat(this.log.appends()).isEqualTo(1);
	}

	@Test
	void anIdOfAnotherTextIsAUsageError() {
		Proposal other = proposal("p9", 1, FIRST, FIRST + "# other\n", "neza");
		assertThat(propose("1", "--id", other.id())).isEqualTo(ExitCode.USAGE);
		assertThat(this.log.appends()).isEqualTo(1);
	}

	@Test
	void theBaseHasToBeStated() {
		assertThat(run("propose", "-")).isEqualTo(ExitCode.USAGE);
	}

	@Test
	void recordsOfOtherTypesAndWrongDigestsHaveNoEffect() {
		this.log.append(new byte[] { 1, 2 });
		this.log.append("{\"type\":\"later\"}".getBytes(StandardCharsets.UTF_8));
		Proposal sound = proposal("bad", 1, FIRST, SECOND, "x");
		this.log.append(
				ConfigRecordCodec.encode(new Proposal(sound.id(), sound.base(), "x", SECOND, Sha256.ofText("other"))));
		this.log.append(checkpoint(9, 0, FIRST + "# old\n", 0));
		assertThat(run("history")).isEqualTo(ExitCode.OK);
		assertThat(this.command.out().lines()).hasSize(2).last().asString().contains("refused, version 1 was in force");
		assertThat(propose("1")).isEqualTo(ExitCode.OK);
	}

	@Test
	void aTrimmedLogIsReadFromACheckpointAndTheRecordsAfterIt() {
		propose("1");
		this.log.append(checkpoint(1, 0, FIRST, 0));
		this.log.trim(1);
		assertThat(run("show")).isEqualTo(ExitCode.OK);
		assertThat(this.command.out()).isEqualTo(SECOND);
		this.log.trim(2);
		assertThat(run("show")).isEqualTo(ExitCode.UNREACHABLE);
		assertThat(this.command.err()).contains("no usable checkpoint");
	}

	private ExitCode propose(String base, String... more) {
		String[] arguments = new String[more.length + 6];
		System.arraycopy(new String[] { "propose", "-", "--base", base, "--author", "neza" }, 0, arguments, 0, 6);
		System.arraycopy(more, 0, arguments, 6, more.length);
		return run(arguments);
	}

	private ExitCode run(String... arguments) {
		String[] all = new String[arguments.length + 2];
		System.arraycopy(arguments, 0, all, 2, arguments.length);
		all[0] = "--log";
		all[1] = this.log.address();
		return this.command.run(all);
	}

	private static Proposal proposal(String nonce, long base, String baseText, String text, String author) {
		return Proposal.create(nonce, new ConfigVersion(base, base - 1, Sha256.ofText(baseText)), author, text);
	}

	private static byte[] checkpoint(long number, long offset, String text, long foldedUpTo) {
		ConfigVersion version = new ConfigVersion(number, offset, Sha256.ofText(text));
		return ConfigRecordCodec.encode(new Checkpoint(new ConfigSnapshot(version, text, foldedUpTo)));
	}

}
