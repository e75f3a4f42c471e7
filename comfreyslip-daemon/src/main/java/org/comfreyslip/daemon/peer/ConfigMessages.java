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
 * Creates and reads the replies of {@code FetchConfig}. Remembers the last texts, so that
 * a peer that is a few versions behind gets only the difference. Thread-safe.
 */
final class ConfigMessages {

	/** At the limit of 4 MB a text, the remembered texts take 16 MB. */
	private static final int MAX_TEXTS = 4;

	private final Map<String, String> texts = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
			return size() > MAX_TEXTS;
		}

	};

	synchronized void remember(ConfigSnapshot state) {
		this.texts.put(state.version().digest(), state.text());
	}

	FetchConfigReply createReply(ConfigSnapshot state, String knownDigest) {
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
			addText(reply, state.text(), findText(knownDigest));
		}
		return reply.build();
	}

	/**
	 * Reads a reply.
	 * @param reply the reply
	 * @param known the text whose digest was sent in the request, or an empty string
	 * @return the peer's state, or empty if it has none
	 * @throws CodedException with {@link ErrorCode#BAD_REQUEST} if the reply is damaged
	 * or its text does not have the digest that it names
	 */
	static Optional<ConfigSnapshot> readReply(FetchConfigReply reply, String known) {
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

	private synchronized Optional<String> findText(String digest) {
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
