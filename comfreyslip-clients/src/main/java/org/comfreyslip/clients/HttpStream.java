package org.comfreyslip.clients;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;

/**
 * An HTTP response whose body is still being received.
 *
 * @param status HTTP status
 * @param headers headers in order
 * @param body the body; a read blocks until bytes are received and fails with an
 * {@link IOException} when the connection breaks or a time limit passes
 */
public record HttpStream(int status, List<HttpHeader> headers, InputStream body) implements AutoCloseable {

	@Override
	public void close() {
		try {
			this.body.close();
		}
		catch (IOException ex) {
			// Nothing more is read from this response.
		}
	}

}
