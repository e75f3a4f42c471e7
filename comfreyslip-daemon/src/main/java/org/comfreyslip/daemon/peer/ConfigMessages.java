package org.comfreyslip.daemon.peer;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.config.ConfigDelta;
import org.comfreyslip.coordination.config.ConfigSnapshot;
import org.comfreyslip.coordination.config.ConfigVersion;
import org.comfreyslip.wire.FetchConfigReply;

/**
 * Answers of {@code FetchConfig}. Keeps the last texts, so that a peer that is a few
 * versions behind gets the difference. Thread-safe.
 */
final class ConfigMessages {

	/** At the limit of 4 MB a text, the kept texts take 16 MB. */
	private static final int KEPT_TEXTS = 4;

	private final Map<String, String> texts = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
			return size() > KEPT_TEXTS;
		}

	};

	synchronized void keep(ConfigSnapshot state) {
		this.texts.put(state.version().digest(), state.text());
	}

	FetchConfigReply reply(ConfigSnapshot state, String knownDigest) {
		ConfigVersion version = state.version();
		if (version.number() == 0) {
			return FetchConfigReply.getDefaultInstance();
		}
		FetchConfigReply.Builder reply = FetchConfigReply.newBuilder()
			.setPresent(true)
			.setVersion(version.number())
			.setOffset(version.offset())
			.setDigest(version.digest())
			.setFoldedUpTo(state.foldedUpTo());
		if (!knownDigest.equals(version.digest())) {
			addText(reply, state.text(), kept(knownDigest));
		}
		return reply.build();
	}

	/**
	 * Reads an answer.
	 * @param reply the answer
	 * @param known the text whose digest was sent, or an empty text
	 * @return the peer's state, or empty if it has none
	 * @throws CodedException with {@link ErrorCode#BAD_REQUEST} if the answer is damaged
	 * or does not lead to the text that it names
	 */
	static Optional<ConfigSnapshot> read(FetchConfigReply reply, String known) {
		if (!reply.getPresent()) {
			return Optional.empty();
		}
		ConfigVersion version = new ConfigVersion(reply.getVersion(), reply.getOffset(), reply.getDigest());
		ConfigSnapshot state = new ConfigSnapshot(version, text(reply, known), reply.getFoldedUpTo());
		if (!state.isIntact()) {
			throw new CodedException(ErrorCode.BAD_REQUEST, "the peer's configuration " + version + " is damaged");
		}
		return Optional.of(state);
	}

	private synchronized Optional<String> kept(String digest) {
		return Optional.ofNullable(this.texts.get(digest));
	}

	private static void addText(FetchConfigReply.Builder reply, String text, Optional<String> known) {
		byte[] whole = TextCompression.compress(text.getBytes(StandardCharsets.UTF_8));
		if (known.isPresent()) {
			byte[] difference = TextCompression.compress(ConfigDelta.between(known.get(), text).encode());
			if (difference.length < whole.length) {
				reply.setDifference(ByteString.copyFrom(difference));
				return;
			}
		}
		reply.setText(ByteString.copyFrom(whole));
	}

	private static String text(FetchConfigReply reply, String known) {
		if (!reply.getText().isEmpty()) {
			return new String(decompress(reply.getText()), StandardCharsets.UTF_8);
		}
		if (!reply.getDifference().isEmpty()) {
			return ConfigDelta.decode(decompress(reply.getDifference())).applyTo(known);
		}
		return known;
	}

	private static byte[] decompress(ByteString bytes) {
		return TextCompression.decompress(bytes.toByteArray(), PeerLimits.CONFIG_BYTES);
	}

}
