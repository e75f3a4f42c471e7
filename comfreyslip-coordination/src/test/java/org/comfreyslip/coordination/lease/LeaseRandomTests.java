package org.comfreyslip.coordination.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tag;
import net.jqwik.api.lifecycle.AfterContainer;
import org.comfreyslip.coordination.FakeLog;
import org.comfreyslip.coordination.FakeLog.AppendResult;
import org.comfreyslip.coordination.FakeLog.Fault;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against two valid holders of a lease and against an old order after a newer one,
 * under random faults and pauses. The long run:
 * {@code mvn -o -B -ntp verify -pl comfreyslip-coordination -am -Dtest.excludedGroups=
 * -Dtest=LeaseRandomTests -Dsurefire.failIfNoSpecifiedTests=false}.
 */
class LeaseRandomTests {

	private static final String NAME = "placement";

	private static final LeaseTiming TIMING = new LeaseTiming(1000, 100, 200, 300);

	private static final int CONTENDERS = 3;

	private static final int STEPS = 2000;

	private static final Map<Fault, Integer> FAULTS = FakeLog.newFaultCounts();

	private static int acquired;

	private static int fenced;

	@Property(tries = 200, seed = "20", edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
	void atMostOneContenderIsValid(@ForAll long seed) {
		new Run(seed).execute();
	}

	@Tag("long")
	@Property(tries = 10_000, edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
	void atMostOneContenderIsValidInManyRuns(@ForAll long seed) {
		new Run(seed).execute();
	}

	@AfterContainer
	static void printFaults() {
		System.out.println("lease runs, faults " + FAULTS + ", leases acquired " + acquired
				+ ", orders refused for their number " + fenced);
		assertThat(acquired).isPositive();
		assertThat(fenced).isPositive();
	}

	/** One run. */
	private static final class Run {

		private final Random random;

		private final FakeLog<LeaseRecord> log;

		private final LeaseFold truth = new LeaseFold(0);

		private final List<LeaseState> history = new ArrayList<>(List.of(this.truth.state(NAME)));

		private final List<Contender> contenders = new ArrayList<>();

		private final List<Long> orders = new ArrayList<>();

		private long highestApplied = LeaseRecord.NONE;

		private long now;

		private int nonce;

		Run(long seed) {
			this.random = new Random(seed);
			this.log = new FakeLog<>(this.random, FAULTS, this::onRecord);
			for (int i = 0; i < CONTENDERS; i++) {
				this.contenders.add(new Contender("c" + i));
			}
		}

		void execute() {
			for (int i = 0; i < STEPS; i++) {
				this.now += this.random.nextInt(20);
				step(this.random.nextInt(1000));
				assertThat(this.contenders.stream().filter(Contender::isValid).count()).isLessThanOrEqualTo(1);
			}
		}

		private void step(int dice) {
			Contender contender = this.contenders.get(this.random.nextInt(CONTENDERS));
			if (dice < 850) {
				contender.act();
			}
			else if (dice < 900) {
				deliverOrder();
			}
			else if (dice < 950) {
				this.log.storeOneLateAppend();
			}
			else if (dice < 955) {
				this.log.toggleOutage();
			}
			else if (dice < 965) {
				this.log.count(Fault.PAUSE);
				contender.pausedUntil = this.now + this.random.nextInt(3000);
			}
			else if (dice < 970) {
				this.log.count(Fault.RESTART);
				this.contenders.replaceAll((other) -> (other == contender) ? new Contender(other.name) : other);
			}
			else if (dice < 975) {
				contender.resign();
			}
			else if (dice < 985) {
				this.log.count(Fault.SLOW_READ);
				contender.lagUntil = this.now + this.random.nextInt(1500);
			}
		}

		private void onRecord(LeaseRecord record) {
			if (this.truth.apply(this.history.size() - 1, record) == LeaseVerdict.ACCEPTED
					&& record instanceof LeaseRecord.Acquire) {
				acquired++;
			}
			this.history.add(this.truth.state(NAME));
		}

		private void deliverOrder() {
			if (this.orders.isEmpty()) {
				return;
			}
			int chosen = this.random.nextInt(this.orders.size());
			if (chosen < this.orders.size() - 1) {
				this.log.count(Fault.LATE_ORDER);
			}
			long number = this.orders.remove(chosen);
			if (number < this.highestApplied) {
				fenced++;
				return;
			}
			assertThat(this.truth.state(NAME).fence()).isGreaterThanOrEqualTo(number);
			this.highestApplied = number;
		}

		/** One contender with its own fold. */
		private final class Contender {

			private final String name;

			private final LeaseFold fold = new LeaseFold(0);

			private final LeaseHolder holder;

			private long pausedUntil;

			private long lagUntil;

			Contender(String name) {
				this.name = name;
				this.holder = new LeaseHolder(NAME, name, TIMING, () -> "n" + Run.this.nonce++, Run.this.now);
			}

			boolean isValid() {
				return this.holder.isValid(Run.this.now);
			}

			void act() {
				if (Run.this.now < this.pausedUntil) {
					return;
				}
				this.holder.next(Run.this.now).ifPresent(this::append);
				if (Run.this.now >= this.lagUntil) {
					read();
				}
				if (isValid()) {
					Run.this.orders.add(this.holder.fence(Run.this.now));
				}
			}

			void resign() {
				this.holder.resign().ifPresent(Run.this.log::append);
			}

			private void append(LeaseRecord record) {
				if (Run.this.log.append(record) == AppendResult.STORED) {
					this.holder.onAppended();
					return;
				}
				this.holder.onAppendFailed(Run.this.now);
			}

			private void read() {
				if (Run.this.log.isUnavailable()) {
					return;
				}
				while (this.fold.nextOffset() < Run.this.log.tail()) {
					long offset = this.fold.nextOffset();
					LeaseRecord record = Run.this.log.get(offset);
					LeaseVerdict verdict = this.fold.apply(offset, record);
					assertThat(this.fold.state(NAME)).isEqualTo(Run.this.history.get((int) offset + 1));
					this.holder.onRecord(Run.this.now, record, verdict, this.fold.state(NAME));
				}
				this.holder.onReadToTail(Run.this.now, this.fold.state(NAME));
			}

		}

	}

}
