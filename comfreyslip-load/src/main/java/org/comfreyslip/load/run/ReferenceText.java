package org.comfreyslip.load.run;

import java.util.Arrays;
import java.util.List;

import org.comfreyslip.standins.engine.ReferenceModel;

/**
 * Computes the answers of the stand-ins' reference model.
 */
public final class ReferenceText {

	private ReferenceText() {
	}

	/**
	 * Computes an answer.
	 * @param layers the model's layers
	 * @param prompt the prompt
	 * @param maxTokens the token limit
	 * @return the texts of the tokens
	 */
	public static List<String> of(int layers, String prompt, int maxTokens) {
		return Arrays.stream(ReferenceModel.answer(layers, ReferenceModel.tokenize(prompt), maxTokens))
			.mapToObj(ReferenceModel::text)
			.toList();
	}

}
