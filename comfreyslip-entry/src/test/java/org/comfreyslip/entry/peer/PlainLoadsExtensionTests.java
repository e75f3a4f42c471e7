package org.comfreyslip.entry.peer;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

import org.comfreyslip.entry.fleet.PlainLoads.Figures;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PlainLoadsExtension}. They guard against blocks that stop the daemon
 * or grow without bound.
 */
class PlainLoadsExtensionTests {

	@Test
	void figuresAreTheSameAfterTheWay() {
		Figures figures = new Figures(2.5, 2, 50, 0.25, 3);
		assertThat(PlainLoadsExtension.decode(PlainLoadsExtension.encode(Map.of("e", figures))))
			.isEqualTo(Map.of("e", figures));
	}

	@Test
	void cutAndUnknownBlocksAreIgnored() {
		byte[] block = PlainLoadsExtension.encode(Map.of("e", new Figures(2.5, 2, 50, 0.25, 3)));
		for (int length = 2; length < block.length; length++) {
			assertThat(PlainLoadsExtension.decode(Arrays.copyOf(block, length))).isEmpty();
		}
		block[0] = 99;
		assertThat(PlainLoadsExtension.decode(block)).isEmpty();
	}

	@Test
	void aBlockIsSmallWithManyEndpoints() {
		Map<String, Figures> many = new HashMap<>();
		for (int index = 0; index < 900; index++) {
			many.put("endpoint-with-a-long-name-" + index, new Figures(index, 2, 50, 0, 2));
		}
		byte[] block = PlainLoadsExtension.encode(many);
		assertThat(block.length).isLessThanOrEqualTo(600);
		assertThat(PlainLoadsExtension.decode(block)).containsKey("endpoint-with-a-long-name-899");
	}

}
