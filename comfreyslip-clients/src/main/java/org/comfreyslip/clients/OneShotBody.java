package org.comfreyslip.clients;

import java.io.IOException;

import okhttp3.MediaType;
import okhttp3.RequestBody;
import okio.BufferedSink;

/**
 * Request body that OkHttp never sends a second time.
 */
final class OneShotBody extends RequestBody {

	private final byte[] bytes;

	OneShotBody(byte[] bytes) {
		this.bytes = bytes;
	}

	@Override
	public MediaType contentType() {
		return null;
	}

	@Override
	public long contentLength() {
		return this.bytes.length;
	}

	@Override
	public boolean isOneShot() {
		return true;
	}

	@Override
	public void writeTo(BufferedSink sink) throws IOException {
		sink.write(this.bytes);
	}

}
