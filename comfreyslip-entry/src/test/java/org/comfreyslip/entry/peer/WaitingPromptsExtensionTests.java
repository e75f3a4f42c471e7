package org.comfreyslip.entry.peer;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import org.comfreyslip.entry.prompt.WaitingPrompts;
import org.comfreyslip.entry.prompt.WaitingPrompts.EngineFigures;
import org.comfreyslip.entry.prompt.WaitingPrompts.Figures;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link WaitingPromptsExtension}. They guard against blocks that stop the
 * daemon or grow without bound, and against messages where no long prompts are.
 */
class WaitingPromptsExtensionTests {

	private static final List<EngineFigures> FIGURES = List.of(new EngineFigures(-7, new Figures(1.25, 3.5)),
			new EngineFigures(9, new Figures(0, 0.25)));

	@Test
	void figuresAreTheSameAfterTheWay() {
		assertThat(WaitingPromptsExtension.decode(WaitingPromptsExtension.encode(FIGURES))).isEqualTo(FIGURES);
	}

	@Test
	void cutAndUnknownBlocksAreIgnored() {
		byte[] block = WaitingPromptsExtension.encode(FIGURES);
		for (int length = 0; length < block.length; length++) {
			boolean whole = (length - 1) % 8 == 0;
			assertThat(WaitingPromptsExtension.decode(Arrays.copyOf(block, length))).hasSize((whole) ? length / 8 : 0);
		}
		block[0] = 99;
		assertThat(WaitingPromptsExtension.decode(block)).isEmpty();
	}

	@Test
	void aBlockIsSmallAndHoldsTheEnginesWithMostPrompts() {
		List<EngineFigures> many = new ArrayList<>();
		for (int index = 0; index < 900; index++) {
			many.add(new EngineFigures(index, new Figures((index == 3) ? 10 : 0, index)));
		}
		byte[] block = WaitingPromptsExtension.encode(many);
		assertThat(block.length).isLessThanOrEqualTo(400);
		assertThat(WaitingPromptsExtension.decode(block)).extracting(EngineFigures::key).contains(3, 899);
	}

	@Test
	void noBlockIsSentWithoutLongPrompts() {
		WaitingPromptsExtension extension = new WaitingPromptsExtension(new WaitingPrompts(), () -> 0);
		assertThat(extension.content(0)).isEmpty();
		extension.onContent("other", "a", Optional.of(new byte[] { 1, 2, 3 }), 0);
		assertThat(extension.content(0)).isEmpty();
	}

}
