package org.comfreyslip.standins.engine;

import java.util.Arrays;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.comfreyslip.clients.engine.StepToken;
import org.comfreyslip.routing.topology.LayerRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a reference model that hides a missing, repeated or reordered pass, and
 * against stages that do not add up to the model.
 */
class ReferenceModelTests {

	private static final int LAYERS = 6;

	private static final LayerRange ALL = new LayerRange(0, LAYERS);

	@Property(tries = 100, seed = "1")
	void stagesOfAnyLengthGiveTheSameTokensAsTheWholeModel(@ForAll @Size(min = 1, max = 20) int[] prompt,
			@ForAll @IntRange(min = 1, max = LAYERS - 1) int cut) {
		KvState front = new KvState();
		KvState back = new KvState();
		int[] expected = ReferenceModel.answer(LAYERS, prompt, 30);
		int endIndex = ReferenceModel.answer(LAYERS, prompt, 31).length - 1;
		long value = 0;
		for (int position = 0; position < prompt.length + expected.length - 1; position++) {
			int token = (position < prompt.length) ? prompt[position] : expected[position - prompt.length];
			value = ReferenceModel.embed(position, token);
			value = front.pass(new LayerRange(0, cut), position, value);
			value = back.pass(new LayerRange(cut, LAYERS), position, value);
			int index = position - prompt.length + 1;
			if (index >= 0) {
				StepToken computed = ReferenceModel.token(value, index + 1);
				assertThat(computed.id()).isEqualTo(expected[index]);
				assertThat(computed.end()).isEqualTo(index == endIndex);
			}
		}
	}

	@Property(tries = 100, seed = "2")
	void aMissingOrRepeatedPassOfOneLayerChangesTheNextValue(@ForAll int token,
			@ForAll @IntRange(max = LAYERS - 1) int layer) {
		LayerRange one = new LayerRange(layer, layer + 1);
		KvState complete = passed(token);
		KvState missing = passed(token);
		missing.clear(one);
		KvState repeated = passed(token);
		repeated.pass(one, 0, ReferenceModel.embed(0, token));
		long next = ReferenceModel.embed(1, token);
		long expected = complete.pass(ALL, 1, next);
		assertThat(missing.pass(ALL, 1, next)).isNotEqualTo(expected);
		assertThat(repeated.pass(ALL, 1, next)).isNotEqualTo(expected);
	}

	@Property(tries = 100, seed = "3")
	void noAnswerEndsBeforeSixteenTokens(@ForAll @Size(min = 1, max = 5) int[] prompt) {
		assertThat(ReferenceModel.answer(LAYERS, prompt, 400).length).isGreaterThanOrEqualTo(ReferenceModel.MIN_TOKENS);
	}

	@Property(tries = 100, seed = "4")
	void theStateOfAnExportedCacheSurvivesTheImport(@ForAll @Size(min = 1, max = 9) int[] tokens) {
		KvState original = new KvState();
		for (int position = 0; position < tokens.length; position++) {
			original.pass(ALL, position, ReferenceModel.embed(position, tokens[position]));
		}
		KvState copy = new KvState();
		copy.read(original.write(), ALL);
		assertThat(Arrays.equals(copy.write(), original.write())).isTrue();
		assertThat(copy.positions(ALL)).isEqualTo(tokens.length);
	}

	private static KvState passed(int token) {
		KvState kv = new KvState();
		kv.pass(ALL, 0, ReferenceModel.embed(0, token));
		return kv;
	}

}
