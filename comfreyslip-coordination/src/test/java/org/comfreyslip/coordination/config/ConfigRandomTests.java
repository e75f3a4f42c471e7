package org.comfreyslip.coordination.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tag;
import net.jqwik.api.lifecycle.AfterContainer;
import org.comfreyslip.coordination.FakeLog;
import org.comfreyslip.coordination.FakeLog.AppendResult;
import org.comfreyslip.coordination.FakeLog.Fault;
import org.comfreyslip.coordination.config.ConfigProposalAttempt.Action;
import org.comfreyslip.coordination.config.ConfigRecord.Checkpoint;
import org.comfreyslip.coordination.config.ConfigRecord.Proposal;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs daemons and operators on one log under random faults. Guards against daemons that
 * disagree on the configuration at an offset, an accepted configuration that is replaced
 * by an older one, and operators that are told a wrong outcome. The long run:
 * {@code mvn -o -B -ntp verify -pl comfreyslip-coordination -am -Dtest.excludedGroups=
 * -Dtest=ConfigRandomTests -Dsurefire.failIfNoSpecifiedTests=false}.
 */
class ConfigRandomTests {

	private static final int DAEMONS = 5;

	private static final int OPERATORS = 3;

	private static final int STEPS = 400;

	private static final Map<Fault, Integer> FAULTS = FakeLog.newFaultCounts();

	private static final Map<String, Integer> OUTCOMES = new TreeMap<>();

	@Property(tries = 200, seed = "20", edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
	void allDaemonsFollowTheLog(@ForAll long seed) {
		new Run(seed).execute();
	}

	@Tag("long")
	@Property(tries = 20_000, edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
	void allDaemonsFollowTheLogInManyRuns(@ForAll long seed) {
		new Run(seed).execute();
	}

	@AfterContainer
	static void printFaults() {
		System.out.println("configuration runs, faults " + FAULTS + ", outcomes " + OUTCOMES);
		assertThat(FAULTS).containsKeys(Fault.LOST_RESPONSE, Fault.READING_GAP, Fault.START_FROM_PEERS);
	}

	/** One random run of all daemons and operators. */
	private static final class Run {

		private final Random random;

		private final FakeLog<ConfigRecord> log;

		private final ConfigFold referenceFold = new ConfigFold(ConfigSnapshot.INITIAL);

		private final List<ConfigSnapshot> history = new ArrayList<>(List.of(ConfigSnapshot.INITIAL));

		private final Set<String> accepted = new HashSet<>();

		private final Set<String> neverAccepted = new HashSet<>();

		private final List<Daemon> daemons = new ArrayList<>();

		private final List<Operator> operators = new ArrayList<>();

		private final List<Checkpoint> pendingCheckpoints = new ArrayList<>();

		private int nonce;

		private long nowNanos;

		Run(long seed) {
			this.random = new Random(seed);
			this.log = new FakeLog<>(this.random, FAULTS, this::onRecord);
			for (int i = 0; i < DAEMONS; i++) {
				this.daemons.add(new Daemon(i));
			}
			for (int i = 0; i < OPERATORS; i++) {
				this.operators.add(new Operator(i));
			}
		}

		void execute() {
			for (int i = 0; i < STEPS; i++) {
				this.nowNanos += this.random.nextInt(400_000_000);
				step(this.random.nextInt(100));
			}
			assertThat(this.accepted).noneMatch(this.neverAccepted::contains);
		}

		private void step(int choice) {
			Daemon daemon = this.daemons.get(this.random.nextInt(DAEMONS));
			if (choice < 45) {
				daemon.read();
			}
			else if (choice < 75) {
				this.operators.get(this.random.nextInt(OPERATORS)).step();
			}
			else if (choice < 82) {
				daemon.gossip(this.daemons.get(this.random.nextInt(DAEMONS)));
			}
			else if (choice < 88) {
				checkpoint(daemon);
			}
			else if (choice < 91) {
				this.log.toggleOutage();
			}
			else if (choice < 94) {
				daemon.restart();
			}
			else if (choice < 97) {
				this.log.trim(this.random.nextInt(this.log.tail() + 1));
			}
			else {
				this.log.storeOneLateAppend();
			}
		}

		private void checkpoint(Daemon daemon) {
			daemon.state().ifPresent((state) -> this.pendingCheckpoints.add(new Checkpoint(state)));
			if (!this.pendingCheckpoints.isEmpty() && this.random.nextBoolean()) {
				int chosen = this.random.nextInt(this.pendingCheckpoints.size());
				if (chosen < this.pendingCheckpoints.size() - 1) {
					this.log.count(Fault.LATE_CHECKPOINT);
				}
				this.log.append(this.pendingCheckpoints.remove(chosen));
			}
		}

		private void onRecord(ConfigRecord record) {
			ConfigVerdict verdict = this.referenceFold.apply(this.history.size() - 1, record);
			this.history.add(this.referenceFold.snapshot());
			if (verdict instanceof ConfigVerdict.Accepted winner) {
				assertThat(this.accepted.add(winner.proposalId())).isTrue();
			}
		}

		private void checkAgainstReference(ConfigSnapshot state) {
			assertThat(state).isEqualTo(this.history.get((int) state.foldedUpTo() + 1));
		}

		private List<LoggedConfigRecord> recordsFrom(long offset) {
			List<LoggedConfigRecord> records = new ArrayList<>();
			long first = Math.max(offset, this.log.head());
			long end = Math.min(this.log.tail(), first + 1 + this.random.nextInt(20));
			for (long i = first; i < end; i++) {
				records.add(new LoggedConfigRecord(i, Optional.of(this.log.get(i))));
			}
			return records;
		}

		/** Daemon that bootstraps, reads the log and exchanges state with peers. */
		private final class Daemon {

			private final int index;

			private ConfigBootstrap bootstrap;

			private ConfigFold fold;

			private ConfigSnapshot lastState = ConfigSnapshot.INITIAL;

			Daemon(int index) {
				this.index = index;
				startBootstrap(ConfigSnapshot.INITIAL);
			}

			Optional<ConfigSnapshot> state() {
				return Optional.ofNullable(this.fold).map(ConfigFold::snapshot);
			}

			void restart() {
				Run.this.log.count(Fault.RESTART);
				this.fold = null;
				this.lastState = ConfigSnapshot.INITIAL;
				startBootstrap(ConfigSnapshot.INITIAL);
			}

			List<ConfigVerdict> read() {
				if (this.fold == null) {
					runBootstrap();
				}
				else if (!Run.this.log.isUnavailable()) {
					return follow();
				}
				return List.of();
			}

			void gossip(Daemon peer) {
				if (this.fold != null && peer.fold != null) {
					String text = this.fold.snapshot().text();
					String peerText = peer.fold.snapshot().text();
					assertThat(ConfigDelta.between(text, peerText).applyTo(text)).isEqualTo(peerText);
					this.fold.adopt(peer.fold.snapshot());
					check();
				}
			}

			private void startBootstrap(ConfigSnapshot minimumState) {
				Set<String> peers = new HashSet<>();
				for (int i = 0; i < DAEMONS; i++) {
					peers.add("d" + i);
				}
				peers.remove("d" + this.index);
				this.bootstrap = new ConfigBootstrap(minimumState, peers);
			}

			private void runBootstrap() {
				if (!Run.this.log.isUnavailable()) {
					this.bootstrap.onLogRead(Run.this.log.head(), Run.this.log.tail(),
							recordsFrom(this.bootstrap.nextOffset()));
				}
				if (Run.this.log.isUnavailable() || Run.this.random.nextInt(4) == 0) {
					askPeer();
				}
				this.bootstrap.fold().ifPresent((reached) -> {
					this.fold = reached;
					check();
				});
			}

			private void askPeer() {
				Daemon peer = Run.this.daemons.get(Run.this.random.nextInt(DAEMONS));
				this.bootstrap.onPeerState("d" + peer.index, peer.state());
				if (this.bootstrap.fold().isEmpty() && this.bootstrap.tryStartFromPeers()) {
					Run.this.log.count(Fault.START_FROM_PEERS);
				}
			}

			private List<ConfigVerdict> follow() {
				List<ConfigVerdict> verdicts = new ArrayList<>();
				if (!this.fold.snapshot().canCatchUpFrom(Run.this.log.head())) {
					Run.this.log.count(Fault.READING_GAP);
					startBootstrap(this.fold.snapshot());
					this.fold = null;
					return verdicts;
				}
				for (LoggedConfigRecord logged : recordsFrom(this.fold.snapshot().foldedUpTo() + 1)) {
					verdicts.add(logged.applyTo(this.fold));
				}
				check();
				return verdicts;
			}

			private void check() {
				this.fold.snapshot().assertNotBehind(this.lastState);
				this.lastState = this.fold.snapshot();
				checkAgainstReference(this.lastState);
			}

		}

		/** Operator that proposes changes and whose reader may miss trimmed records. */
		private final class Operator {

			private final int index;

			private ConfigFold reader;

			private ConfigProposalAttempt attempt;

			Operator(int index) {
				this.index = index;
			}

			void step() {
				if (this.attempt == null) {
					propose();
					return;
				}
				read();
				Action action = this.attempt.nextAction(Run.this.nowNanos);
				if (action == Action.APPEND) {
					append();
				}
				this.attempt.outcome().ifPresent(this::finish);
			}

			private void propose() {
				Daemon daemon = Run.this.daemons.get(Run.this.random.nextInt(DAEMONS));
				daemon.state().ifPresent((state) -> {
					Run.this.nonce++;
					this.reader = new ConfigFold(state);
					Proposal proposal = Proposal.create("n" + Run.this.nonce, state.version(), "o" + this.index,
							state.text() + Run.this.nonce + "\n");
					this.attempt = new ConfigProposalAttempt(proposal, Run.this.nowNanos, 20_000_000_000L);
				});
			}

			private void read() {
				if (Run.this.log.isUnavailable()) {
					return;
				}
				if (!this.reader.snapshot().canCatchUpFrom(Run.this.log.head())) {
					Run.this.log.count(Fault.READING_GAP);
					this.attempt.onRecordsMissed();
					this.reader = new ConfigFold(Run.this.referenceFold.snapshot());
				}
				for (LoggedConfigRecord logged : recordsFrom(this.reader.snapshot().foldedUpTo() + 1)) {
					this.attempt.onVerdict(logged.applyTo(this.reader));
				}
			}

			private void append() {
				AppendResult answer = Run.this.log.append(this.attempt.proposal());
				switch (answer) {
					case STORED -> this.attempt.onAppended();
					case NO_RESPONSE -> this.attempt.onAppendOutcomeUnknown(Run.this.nowNanos);
					case REFUSED -> this.attempt.onAppendRefused(Run.this.nowNanos);
					default -> throw new IllegalStateException();
				}
			}

			private void finish(ConfigProposalAttempt.Outcome outcome) {
				String id = this.attempt.proposal().id();
				if (outcome instanceof ConfigProposalAttempt.Accepted) {
					assertThat(Run.this.accepted).contains(id);
				}
				else if (!(outcome instanceof ConfigProposalAttempt.OutcomeUnknown)) {
					Run.this.neverAccepted.add(id);
				}
				OUTCOMES.merge(outcome.getClass().getSimpleName(), 1, Integer::sum);
				this.attempt = null;
			}

		}

	}

}
