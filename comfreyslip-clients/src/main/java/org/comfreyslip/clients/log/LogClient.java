package org.comfreyslip.clients.log;

import java.util.concurrent.CompletableFuture;

import org.comfreyslip.clients.CallFailedException;
import org.comfreyslip.clients.FutureSupport;
import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpReply;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * Client of the platform's append-only log.
 */
public final class LogClient {

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int UNAVAILABLE = 503;

	private static final int FIRST_SERVER_ERROR = 500;

	private final HttpTransport http;

	private final String address;

	private final int limitMillis;

	/**
	 * Creates a client.
	 * @param http the shared HTTP client
	 * @param address ip:port of the log
	 * @param limitMillis time limit of a call in milliseconds; the wait of a long-poll
	 * read is added to it
	 */
	public LogClient(HttpTransport http, String address, int limitMillis) {
		this.http = http;
		this.address = address;
		this.limitMillis = limitMillis;
	}

	/**
	 * Appends one record.
	 * @param stream the stream's name
	 * @param bytes content of the record
	 * @return the record's offset, or a {@link CodedException}:
	 * {@link ErrorCode#OUTCOME_UNKNOWN} if the record may have been appended,
	 * {@link ErrorCode#LOG_UNAVAILABLE} if the log refused it or was not reached,
	 * {@link ErrorCode#BAD_REQUEST} if the log rejects the request and would reject it
	 * again
	 */
	public CompletableFuture<Long> append(String stream, byte[] bytes) {
		HttpCall call = HttpCall.post(this.address, path(stream), new AppendRequest(bytes)).within(this.limitMillis);
		return FutureSupport.map(this.http.send(call), this::readAppendResponse, LogClient::toAppendFailure);
	}

	/**
	 * Reads records. If there are none at or after the offset, the log waits for the
	 * first.
	 * @param stream the stream's name
	 * @param from offset from which to read
	 * @param max maximum number of records to return
	 * @param waitMillis how long the log waits for a record, in milliseconds; 0 to return
	 * at once
	 * @return the page, or a {@link CodedException} with
	 * {@link ErrorCode#LOG_UNAVAILABLE}
	 */
	public CompletableFuture<LogPage> read(String stream, long from, int max, long waitMillis) {
		String query = "?from=" + from + "&max=" + max + "&waitMs=" + waitMillis;
		int limit = (int) Math.min(Integer.MAX_VALUE, this.limitMillis + waitMillis);
		HttpCall call = HttpCall.get(this.address, path(stream) + query).within(limit);
		return FutureSupport.map(this.http.send(call), (reply) -> reply.json(LogPage.class),
				LogClient::toLogUnavailable);
	}

	private static String path(String stream) {
		return "/streams/" + stream + "/records";
	}

	private long readAppendResponse(HttpReply reply) {
		if (reply.isSuccess()) {
			return readOffset(reply);
		}
		String message = "log " + this.address + " refused the record with status " + reply.status();
		if (reply.status() == TOO_MANY_REQUESTS || reply.status() == UNAVAILABLE) {
			throw new CodedException(ErrorCode.LOG_UNAVAILABLE, message);
		}
		if (reply.status() < FIRST_SERVER_ERROR) {
			throw new CodedException(ErrorCode.BAD_REQUEST, message);
		}
		throw new CodedException(ErrorCode.OUTCOME_UNKNOWN,
				"log " + this.address + " responded to an append with status " + reply.status());
	}

	private static long readOffset(HttpReply reply) {
		try {
			return reply.json(AppendReply.class).offset();
		}
		catch (CodedException ex) {
			throw new CodedException(ErrorCode.OUTCOME_UNKNOWN, "appended, but the offset cannot be read", ex);
		}
	}

	private static CodedException toAppendFailure(Throwable cause) {
		if (cause instanceof CallFailedException failed) {
			ErrorCode code = (failed.mayHaveBeenSent()) ? ErrorCode.OUTCOME_UNKNOWN : ErrorCode.LOG_UNAVAILABLE;
			return new CodedException(code, failed.getMessage(), failed);
		}
		if (cause instanceof CodedException coded) {
			return coded;
		}
		return new CodedException(ErrorCode.OUTCOME_UNKNOWN, cause.getMessage(), cause);
	}

	private static CodedException toLogUnavailable(Throwable cause) {
		return new CodedException(ErrorCode.LOG_UNAVAILABLE, cause.getMessage(), cause);
	}

}
