package org.comfreyslip.standins.engine;

import java.util.Arrays;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import org.comfreyslip.clients.engine.StepToken;

/**
 * A model in which every pass of every layer matters. The hidden value of a position is a
 * 64-bit number. Each layer maps it with the layer's KV state and changes that state, so
 * a missing, repeated or reordered pass changes all later tokens.
 */
public final class ReferenceModel {

	/** Number of token ids. */
	public static final int VOCABULARY = 32_000;

	/** No response ends before this many tokens. */
	public static final int MIN_TOKENS = 16;

	private static final int END_ONE_IN = 64;

	private static final Hasher64 EMBED = Hashing.komihash5_0(1);

	private static final Hasher64 VALUE = Hashing.komihash5_0(2);

	private static final Hasher64 STATE = Hashing.komihash5_0(3);

	private static final Hasher64 END = Hashing.komihash5_0(4);

	private static final Hasher64 WORD = Hashing.komihash5_0(5);

	private ReferenceModel() {
	}

	/**
	 * Computes a response directly, without an engine.
	 * @param layers number of layers of the model
	 * @param promptTokens the prompt
	 * @param n the most tokens to compute
	 * @return token ids of the response, at most {@code n}; the last one may be an end
	 * token
	 */
	public static int[] answer(int layers, int[] promptTokens, int n) {
		long[] states = new long[layers];
		long value = 0;
		for (int position = 0; position < promptTokens.length; position++) {
			value = pass(states, position, promptTokens[position]);
		}
		int[] tokens = new int[n];
		for (int index = 0; index < n; index++) {
			tokens[index] = tokenId(value);
			if (isEnd(value, index + 1)) {
				return Arrays.copyOf(tokens, index + 1);
			}
			value = pass(states, promptTokens.length + index, tokens[index]);
		}
		return tokens;
	}

	/**
	 * Splits a text at white space. The text of a token id gives that id again.
	 * @param text the text
	 * @return token ids, at least one
	 */
	public static int[] tokenize(String text) {
		return Arrays.stream(text.strip().split("\\s+")).mapToInt(ReferenceModel::tokenOf).toArray();
	}

	/**
	 * Returns the text of a token.
	 * @param id token id
	 * @return the text, with a space at its end
	 */
	public static String text(int id) {
		return "t" + id + " ";
	}

	static StepToken token(long value, int emitted) {
		int id = tokenId(value);
		return new StepToken(id, text(id), isEnd(value, emitted));
	}

	static long embed(int position, int token) {
		return EMBED.hashIntIntToLong(position, token);
	}

	static long value(int layer, int position, long value, long state) {
		return VALUE.hashLongLongLongToLong(place(layer, position), value, state);
	}

	static long nextState(int layer, int position, long value, long state) {
		return STATE.hashLongLongLongToLong(place(layer, position), value, state);
	}

	private static long pass(long[] states, int position, int token) {
		long value = embed(position, token);
		for (int layer = 0; layer < states.length; layer++) {
			long next = value(layer, position, value, states[layer]);
			states[layer] = nextState(layer, position, value, states[layer]);
			value = next;
		}
		return value;
	}

	private static int tokenId(long value) {
		return (int) Long.remainderUnsigned(value, VOCABULARY);
	}

	private static boolean isEnd(long value, int emitted) {
		return emitted >= MIN_TOKENS && Long.remainderUnsigned(END.hashLongToLong(value), END_ONE_IN) == 0;
	}

	private static int tokenOf(String word) {
		if (word.matches("t\\d{1,5}")) {
			int id = Integer.parseInt(word.substring(1));
			if (id < VOCABULARY) {
				return id;
			}
		}
		return tokenId(WORD.hashCharsToLong(word));
	}

	private static long place(int layer, int position) {
		return ((long) layer << Integer.SIZE) | position;
	}

}
