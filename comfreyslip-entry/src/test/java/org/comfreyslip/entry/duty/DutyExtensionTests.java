package org.comfreyslip.entry.duty;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the block of the placement duty. They guard against daemons that claim the
 * duty beside one of an earlier release, or of a holder that others still hear.
 */
class DutyExtensionTests {

	private static final long LATER_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final AtomicInteger missing = new AtomicInteger();

	private final PlacementDuty duty = new PlacementDuty("b", 0);

	private final ReleaseWatch watch = new ReleaseWatch();

	private final DutyExtension extension = new DutyExtension(this.duty, this.watch, this.missing::incrementAndGet);

	private void receive(byte... content) {
		this.extension.onContent("a", "dc", Optional.of(content), TimeUnit.MILLISECONDS.toNanos(150));
		this.watch.update(List.of("a"), TimeUnit.MILLISECONDS.toNanos(150));
	}

	@Test
	void whatADaemonKnowsOfTheHolderIsPassedOnWithItsAgeAndNotTakenForTheHoldersOwnNotice() {
		PlacementDuty other = new PlacementDuty("a", 0);
		other.onNotice(new DutyNotice("c", 1, 7, 250, false, 0, 0), 0);
		ReleaseWatch others = new ReleaseWatch();
		others.update(List.of(), 0);
		byte[] content = new DutyExtension(other, others, () -> {
		}).content(TimeUnit.MILLISECONDS.toNanos(30)).orElseThrow();
		receive(content);
		assertThat(this.duty.notice(TimeUnit.MILLISECONDS.toNanos(200)))
			.contains(new DutyNotice("c", 1, 7, 250, false, 120, DutyNotice.NO_STANDBY));
		assertThat(this.watch.mayUseRecords(LATER_NANOS)).isTrue();
	}

	@Test
	void aMessageWithoutTheBlockComesFromAnEarlierRelease() {
		receive((byte) 1, (byte) 1);
		this.extension.onContent("a", "dc", Optional.empty(), 1);
		this.watch.update(List.of("a"), 1);
		assertThat(this.missing).hasValue(1);
		assertThat(this.watch.knowsNoEarlierRelease()).isFalse();
		assertThat(this.extension.content(1).orElseThrow()).containsExactly(1, 0);
	}

	@Test
	void aDaemonThatKnowsOfAnEarlierReleaseKeepsTheOthersFromClaiming() {
		receive((byte) 1, (byte) 0);
		assertThat(this.watch.mayUseRecords(LATER_NANOS)).isFalse();
	}

	@Test
	void theBlockOfALaterReleaseCountsAndOtherBytesAreIgnored() {
		receive((byte) 9, (byte) 0, (byte) 4);
		assertThat(this.watch.mayUseRecords(LATER_NANOS)).isTrue();
		receive((byte) 1, (byte) 1, (byte) 4, (byte) 0);
		assertThat(this.duty.notice(1)).isEmpty();
	}

}
