package org.comfreyslip.coordination.config;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.config.ConfigRecord.Checkpoint;
import org.comfreyslip.coordination.config.ConfigRecord.Proposal;
import org.comfreyslip.coordination.config.ConfigVerdict.Skipped.Reason;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against an accepted configuration that is replaced by an older one, and against
 * daemons that fold the same log to different configurations.
 */
class ConfigFoldTests {

	private static final long TIME_LIMIT_NANOS = 10_000_000_000L;

	private final ConfigFold fold = new ConfigFold(ConfigSnapshot.INITIAL);

	private final Proposal first = Proposal.create("n1", ConfigVersion.INITIAL, "ana", "a\n");

	private final Proposal rival = Proposal.create("n2", ConfigVersion.INITIAL, "bor", "b\n");

	@Test
	void ofTwoProposalsOnOneBaseTheFirstIsAcceptedAndNamedAsTheWinner() {
		this.fold.apply(0, this.first);
		ConfigVerdict verdict = this.fold.apply(1, this.rival);
		assertThat(verdict).isInstanceOfSatisfying(ConfigVerdict.Refused.class,
				(refused) -> assertThat(refused.winner().author()).isEqualTo("ana"));
		assertThat(this.fold.snapshot().text()).isEqualTo("a\n");
	}

	@Test
	void aProposalOnAnOldBaseIsRefusedAlsoWhenTheTextHasReturnedToThatBase() {
		ConfigVersion one = accept(0, this.first);
		ConfigVersion two = accept(1, Proposal.create("n3", one, "ana", ""));
		assertThat(two.digest()).isEqualTo(ConfigVersion.INITIAL.digest());
		assertThat(this.fold.apply(2, this.rival)).isInstanceOf(ConfigVerdict.Refused.class);
	}

	@Test
	void aRepeatedRecordHasNoEffectAlsoAfterACheckpoint() {
		accept(0, this.first);
		assertThat(this.fold.apply(1, this.first)).isEqualTo(new ConfigVerdict.Duplicate(this.first.id()));
		ConfigFold later = new ConfigFold(this.fold.snapshot());
		later.apply(2, this.first);
		assertThat(later.snapshot().version()).isEqualTo(this.fold.snapshot().version());
	}

	@Test
	void damagedAndForeignRecordsAreSkippedAndCounted() {
		Proposal damaged = new Proposal(this.first.id(), this.first.base(), "ana", "x", this.first.textDigest());
		this.fold.apply(0, damaged);
		this.fold.skip(1);
		assertThat(this.fold.skippedCount(Reason.DAMAGED)).isEqualTo(1);
		assertThat(this.fold.skippedCount(Reason.FOREIGN)).isEqualTo(1);
		assertThat(accept(2, this.first).number()).isEqualTo(1);
	}

	@Test
	void aRecordWhoseIdDoesNotMatchItsContentIsDamaged() {
		Proposal reused = new Proposal(this.first.id(), this.rival.base(), "bor", this.rival.text(),
				this.rival.textDigest());
		assertThat(this.fold.apply(0, reused)).isEqualTo(new ConfigVerdict.Skipped(Reason.DAMAGED));
	}

	@Test
	void aLateCheckpointDoesNotRestoreAnOldText() {
		ConfigSnapshot old = this.fold.snapshot();
		accept(0, this.first);
		assertThat(this.fold.apply(1, new Checkpoint(old))).isEqualTo(new ConfigVerdict.CheckpointIgnored(false));
		assertThat(this.fold.snapshot().text()).isEqualTo("a\n");
	}

	@Test
	void anOffsetThatIsLeftOutIsAnError() {
		assertThatExceptionOfType(CodedException.class).isThrownBy(() -> this.fold.apply(1, this.first))
			.matches((ex) -> ex.code() == ErrorCode.INVARIANT_VIOLATED);
	}

	@Test
	void adoptingALowerVersionIsAnError() {
		accept(0, this.first);
		ConfigSnapshot lower = new ConfigSnapshot(ConfigVersion.INITIAL, "", 9);
		assertThatExceptionOfType(CodedException.class).isThrownBy(() -> this.fold.adopt(lower))
			.matches((ex) -> ex.code() == ErrorCode.INVARIANT_VIOLATED);
	}

	@Test
	void aStartingDaemonRefusesACheckpointWhoseSuccessorsAreTrimmed() {
		ConfigSnapshot old = this.fold.snapshot();
		accept(0, this.first);
		ConfigSnapshot current = this.fold.snapshot();
		ConfigBootstrap bootstrap = new ConfigBootstrap(ConfigSnapshot.INITIAL, Set.of("p"));
		List<ConfigVerdict> verdicts = bootstrap.onLogRead(1, 3,
				List.of(logged(1, new Checkpoint(old)), logged(2, new Checkpoint(current))));
		assertThat(verdicts).startsWith(new ConfigVerdict.CheckpointInsufficient(-1, 1),
				new ConfigVerdict.CheckpointAdopted(current.version()));
		assertThat(bootstrap.fold().orElseThrow().snapshot().text()).isEqualTo("a\n");
	}

	@Test
	void withoutTheLogTheNewestStateOfMoreThanHalfOfThePeersIsTaken() {
		accept(0, this.first);
		ConfigBootstrap bootstrap = new ConfigBootstrap(ConfigSnapshot.INITIAL, Set.of("p", "q", "r", "s"));
		bootstrap.onPeerState("p", Optional.of(ConfigSnapshot.INITIAL));
		bootstrap.onPeerState("q", Optional.of(this.fold.snapshot()));
		assertThat(bootstrap.tryStartFromPeers()).isFalse();
		bootstrap.onPeerState("r", Optional.empty());
		assertThat(bootstrap.tryStartFromPeers()).isTrue();
		assertThat(bootstrap.fold().orElseThrow().snapshot()).isEqualTo(this.fold.snapshot());
	}

	@Test
	void aDaemonDoesNotReplaceItsStateByAnOlderOneOfAPeer() {
		accept(0, this.first);
		ConfigBootstrap bootstrap = new ConfigBootstrap(this.fold.snapshot(), Set.of("p"));
		bootstrap.onPeerState("p", Optional.of(ConfigSnapshot.INITIAL));
		assertThat(bootstrap.tryStartFromPeers()).isFalse();
	}

	@Test
	void anAppendWithUnknownOutcomeIsResolvedByReadingTheLog() {
		ConfigProposalAttempt attempt = new ConfigProposalAttempt(this.first, 0, TIME_LIMIT_NANOS);
		assertThat(attempt.nextAction(0)).isEqualTo(ConfigProposalAttempt.Action.APPEND);
		attempt.onAppendOutcomeUnknown(1);
		attempt.onVerdict(this.fold.apply(0, this.first));
		assertThat(attempt.outcome()).contains(new ConfigProposalAttempt.Accepted(this.fold.snapshot().version()));
	}

	@Test
	void aRefusedAppendAfterOneWithUnknownOutcomeLeavesTheOutcomeUnknown() {
		ConfigProposalAttempt attempt = new ConfigProposalAttempt(this.first, 0, TIME_LIMIT_NANOS);
		attempt.nextAction(0);
		attempt.onAppendOutcomeUnknown(1);
		assertThat(attempt.nextAction(TIME_LIMIT_NANOS / 2)).isEqualTo(ConfigProposalAttempt.Action.APPEND);
		attempt.onAppendRefused(TIME_LIMIT_NANOS / 2);
		attempt.nextAction(TIME_LIMIT_NANOS);
		assertThat(attempt.outcome()).contains(new ConfigProposalAttempt.OutcomeUnknown(this.first.id()));
	}

	@Test
	void theOperatorOfARefusedProposalIsToldTheAcceptedOne() {
		ConfigProposalAttempt attempt = new ConfigProposalAttempt(this.rival, 0, TIME_LIMIT_NANOS);
		attempt.nextAction(0);
		attempt.onVerdict(this.fold.apply(0, this.first));
		assertThatExceptionOfType(CodedException.class)
			.isThrownBy(() -> attempt.outcome().orElseThrow().throwIfNotAccepted())
			.withMessageContaining("ana")
			.matches((ex) -> ex.code() == ErrorCode.CONFIG_CONFLICT);
	}

	@Test
	void aDifferenceIsAppliedOnlyToItsBase() {
		String base = "[a]\nk = 1\n\n[b]\nk = 2\n";
		String result = "[a]\nk = 1\n\n[c]\nk = 3\n\n[b]\nk = 2\n";
		ConfigDelta delta = ConfigDelta.decode(ConfigDelta.between(base, result).encode());
		assertThat(delta.applyTo(base)).isEqualTo(result);
		assertThatExceptionOfType(CodedException.class).isThrownBy(() -> delta.applyTo(result));
	}

	@Test
	void checkpointsFollowEachOtherAtAThirdOfTheRetention() {
		CheckpointSchedule schedule = new CheckpointSchedule(0, 300);
		assertThat(schedule.nextCheckpoint(0, false, ConfigSnapshot.INITIAL)).isEmpty();
		assertThat(schedule.nextCheckpoint(0, true, ConfigSnapshot.INITIAL)).isPresent();
		schedule.onCheckpointLogged(0);
		assertThat(schedule.nextCheckpoint(99, true, ConfigSnapshot.INITIAL)).isEmpty();
		assertThat(schedule.nextCheckpoint(100, true, ConfigSnapshot.INITIAL)).isPresent();
	}

	private ConfigVersion accept(long offset, Proposal proposal) {
		assertThat(this.fold.apply(offset, proposal)).isInstanceOf(ConfigVerdict.Accepted.class);
		return this.fold.snapshot().version();
	}

	private LoggedConfigRecord logged(long offset, ConfigRecord record) {
		return new LoggedConfigRecord(offset, Optional.of(record));
	}

}
