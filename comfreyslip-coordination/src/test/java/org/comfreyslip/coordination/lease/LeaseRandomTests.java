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
 * Runs contenders for one lease under random faults and pauses. Guards against two valid
 * holders of the lease and against an old order that is executed after a newer one. The
 * long run:
 * {@code mvn -o -B -ntp verify -pl comfreyslip-coordination -am -Dtest.excludedGroups=
 * -Dtest=LeaseRandomTests -Dsurefire.failIfNoSpecifiedTests=false}.
 */
class LeaseRandomTests {

	private static final String NAME = "placement";

	private static final LeaseTiming TIMING = new LeaseTiming(1000, 100, 200, 300);

	private static final int CONTENDERS = 3;

	private static final int STEPS = 2000;

	private static final Map<Fault, Integer> FAULTS = FakeLog.newFaultCounts();

	private static int acquiredLeases;

	private static int refusedOrders;

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
		System.out.println("lease runs, faults " + FAULTS + ", leases acquired " + acquiredLeases
				+ ", orders refused for their fencing token " + refusedOrders);
		assertThat(acquiredLeases).isPositive();
		assertThat(refusedOrders).isPositive();
	}

	/** One random run of all contenders. */
	private static final class Run {

		private final Random random;

		private final FakeLog<LeaseRecord> log;

		private final LeaseFold referenceFold = new LeaseFold(0);

		private final List<LeaseState> history = new ArrayList<>(List.of(this.referenceFold.state(NAME)));

		private final List<Contender> contenders = new ArrayList<>();

		private final List<Long> undeliveredOrders = new ArrayList<>();

		private long highestExecutedToken = LeaseRecord.NONE;

		private long nowNanos;

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
				this.nowNanos += this.random.nextInt(20);
				step(this.random.nextInt(1000));
				assertThat(this.contenders.stream().filter(Contender::isValid).count()).isLessThanOrEqualTo(1);
			}
		}

		private void step(int choice) {
			Contender contender = this.contenders.get(this.random.nextInt(CONTENDERS));
			if (choice < 850) {
				contender.step();
			}
			else if (choice < 900) {
				deliverOrder();
			}
			else if (choice < 950) {
				this.log.storeOneLateAppend();
			}
			else if (choice < 955) {
				this.log.toggleOutage();
			}
			else if (choice < 965) {
				this.log.count(Fault.PAUSE);
				contender.pausedUntil = this.nowNanos + this.random.nextInt(3000);
			}
			else if (choice < 970) {
				this.log.count(Fault.RESTART);
				this.contenders.replaceAll((other) -> (other == contender) ? new Contender(other.name) : other);
			}
			else if (choice < 975) {
				contender.resign();
			}
			else if (choice < 985) {
				this.log.count(Fault.SLOW_READ);
				contender.readsDelayedUntil = this.nowNanos + this.random.nextInt(1500);
			}
		}

		private void onRecord(LeaseRecord record) {
			if (this.referenceFold.apply(this.history.size() - 1, record) == LeaseVerdict.ACCEPTED
					&& record instanceof LeaseRecord.Acquire) {
				acquiredLeases++;
			}
			this.history.add(this.referenceFold.state(NAME));
		}

		private void deliverOrder() {
			if (this.undeliveredOrders.isEmpty()) {
				return;
			}
			int chosen = this.random.nextInt(this.undeliveredOrders.size());
			if (chosen < this.undeliveredOrders.size() - 1) {
				this.log.count(Fault.LATE_ORDER);
			}
			long token = this.undeliveredOrders.remove(chosen);
			if (token < this.highestExecutedToken) {
				refusedOrders++;
				return;
			}
			assertThat(this.referenceFold.state(NAME).fencingToken()).isGreaterThanOrEqualTo(token);
			this.highestExecutedToken = token;
		}

		/**
		 * Contender with its own fold, which sends an order whenever its lease is valid.
		 */
		private final class Contender {

			private final String name;

			private final LeaseFold fold = new LeaseFold(0);

			private final LeaseHolder holder;

			private long pausedUntil;

			private long readsDelayedUntil;

			Contender(String name) {
				this.name = name;
				this.holder = new LeaseHolder(NAME, name, TIMING, () -> "n" + Run.this.nonce++, Run.this.nowNanos);
			}

			boolean isValid() {
				return this.holder.isValid(Run.this.nowNanos);
			}

			void step() {
				if (Run.this.nowNanos < this.pausedUntil) {
					return;
				}
				this.holder.nextRecord(Run.this.nowNanos).ifPresent(this::append);
				if (Run.this.nowNanos >= this.readsDelayedUntil) {
					read();
				}
				if (isValid()) {
					Run.this.undeliveredOrders.add(this.holder.fencingToken(Run.this.nowNanos));
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
				this.holder.onAppendFailed(Run.this.nowNanos);
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
					this.holder.onRecord(Run.this.nowNanos, record, verdict, this.fold.state(NAME));
				}
				this.holder.onReadToTail(Run.this.nowNanos, this.fold.state(NAME));
			}

		}

	}

}
