package org.comfreyslip.entry.prompt;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.Samples;
import org.comfreyslip.entry.layers.LayerPath;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.LayerRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for {@link WaitingPrompts}. They guard against prompts that count after they have
 * started or after their daemon has ended.
 */
class WaitingPromptsTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final List<WaitingPrompts.EngineFigures> REPORT = List
		.of(new WaitingPrompts.EngineFigures(WaitingPrompts.key("e"), new WaitingPrompts.Figures(3, 2)));

	private final WaitingPrompts waiting = new WaitingPrompts();

	private void send(Object request, int tokens, long nowNanos) {
		Endpoint engine = Samples.endpoint("e", "a", Samples.FAST, new LayerRange(0, 80));
		this.waiting.recordSend(request, new Prompt(Samples.manyEngines(), tokens, 500, 250),
				new LayerPath(List.of(new LayerPath.Stage(engine, new LayerRange(0, 80))), 2), nowNanos);
	}

	private double delayMs(long nowNanos) {
		return this.waiting.total("e", nowNanos).delayMs();
	}

	@Test
	void longPromptCountsUntilItsFirstEventOrTheEndOfItsSend() {
		send("r", 2_280, 0);
		// 2,280 tokens take 7.76 ms and 5 steps of 1.19 ms, the mean 2.59 ms and 2 steps.
		assertThat(delayMs(0)).isCloseTo((13.71 * 13.71 - 4.97 * 4.97) / 2 / 13.71, within(0.01));
		this.waiting.recordStart("r", 1);
		this.waiting.recordStart("r", 2);
		assertThat(delayMs(3)).isZero();
	}

	@Test
	void aRequestThatIsSentAgainCountsOnce() {
		send("r", 2_280, 0);
		double once = delayMs(0);
		send("r", 2_280, 0);
		assertThat(delayMs(0)).isEqualTo(once);
	}

	@Test
	void promptOfMeanLengthAddsToTheRateOnly() {
		send("r", 760, 0);
		assertThat(this.waiting.total("e", 0)).isEqualTo(new WaitingPrompts.Figures(0, 0.1));
		assertThat(this.waiting.isActive(0)).isFalse();
	}

	@Test
	void meanTellsOfPromptsThatAreOver() {
		send("r", 2_280, 0);
		double present = delayMs(0);
		this.waiting.recordStart("r", SECOND);
		assertThat(this.waiting.ownFigures(SECOND).get(0).figures().delayMs()).isCloseTo(present * (1 - Math.exp(-0.1)),
				within(1e-9));
		assertThat(this.waiting.ownFigures(200 * SECOND)).isEmpty();
	}

	@Test
	void reportOfADaemonThatEndedIsDropped() {
		this.waiting.onReport("other", REPORT, 0);
		this.waiting.update(12 * SECOND);
		assertThat(delayMs(12 * SECOND)).isEqualTo(3);
		assertThat(this.waiting.isActive(12 * SECOND)).isTrue();
		this.waiting.update(14 * SECOND);
		assertThat(delayMs(14 * SECOND)).isZero();
		assertThat(this.waiting.isActive(31 * SECOND)).isFalse();
	}

	@Test
	void daemonWithoutTheBlockCountsAsWithoutPrompts() {
		this.waiting.onReport("other", REPORT, 0);
		this.waiting.onReport("other", List.of(), 1);
		this.waiting.update(2);
		assertThat(delayMs(2)).isZero();
	}

}
