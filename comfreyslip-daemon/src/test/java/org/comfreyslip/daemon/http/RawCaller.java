package org.comfreyslip.daemon.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

import org.comfreyslip.daemon.InProcessDeployment;

/**
 * A client with a plain socket, for requests that an HTTP client would not send.
 */
final class RawCaller implements AutoCloseable {

	private static final int TIMEOUT_MILLIS = 20_000;

	private final Socket socket;

	RawCaller(String address) {
		int colon = address.lastIndexOf(':');
		try {
			this.socket = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
			this.socket.setSoTimeout(TIMEOUT_MILLIS);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Returns the head of a request with the credential of the client account.
	 * @param method the HTTP method
	 * @param path the path
	 * @param length the value of {@code Content-Length}
	 * @param headers further header lines, without line ends
	 * @return the request line and the headers, with the empty line
	 */
	static String head(String method, String path, int length, String... headers) {
		StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: daemon\r\n");
		head.append("Authorization: Bearer " + InProcessDeployment.KEY + "\r\nContent-Length: " + length + "\r\n");
		for (String header : headers) {
			head.append(header).append("\r\n");
		}
		return head.append("\r\n").toString();
	}

	RawCaller send(String text) {
		return send(text.getBytes(StandardCharsets.UTF_8));
	}

	RawCaller send(byte[] bytes) {
		try {
			this.socket.getOutputStream().write(bytes);
			this.socket.getOutputStream().flush();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return this;
	}

	/**
	 * Reads until the data ends with a text or the server has closed the connection.
	 * @param end the text at which reading stops
	 * @return all that was read
	 */
	String readUntil(String end) {
		ByteArrayOutputStream read = new ByteArrayOutputStream();
		try {
			InputStream in = this.socket.getInputStream();
			for (int next = in.read(); next >= 0; next = in.read()) {
				read.write(next);
				if (read.toString(StandardCharsets.UTF_8).endsWith(end)) {
					break;
				}
			}
		}
		catch (SocketException ex) {
			// The server closed the connection before it had read the whole request.
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return read.toString(StandardCharsets.UTF_8);
	}

	@Override
	public void close() {
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
