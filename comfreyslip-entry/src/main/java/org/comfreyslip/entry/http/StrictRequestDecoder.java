package org.comfreyslip.entry.http;

import java.util.List;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Decodes requests and rejects those whose body length is ambiguous, which could smuggle
 * a second request past the daemon.
 */
public class StrictRequestDecoder extends HttpRequestDecoder {

	private static final int MAX_CHUNK_BYTES = 65_536;

	/**
	 * Creates a decoder.
	 * @param maxHeaderBytes largest first line, and largest sum of the header lines, in
	 * bytes
	 */
	public StrictRequestDecoder(int maxHeaderBytes) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(maxHeaderBytes)
			.setMaxHeaderSize(maxHeaderBytes)
			.setMaxChunkSize(MAX_CHUNK_BYTES));
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("both Content-Length and Transfer-Encoding; send one of them");
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		List<String> encodings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
		if (encodings.isEmpty()) {
			return super.isContentAlwaysEmpty(message);
		}
		boolean chunkedOnly = encodings.size() == 1
				&& HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0).trim());
		if (!chunkedOnly || !message.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
			throw new IllegalArgumentException("unsupported Transfer-Encoding; send chunked over HTTP/1.1");
		}
		return super.isContentAlwaysEmpty(message);
	}

}
