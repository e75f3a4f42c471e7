package org.comfreyslip.clients;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;

/**
 * Maps futures so that cancelling the mapped future cancels the call behind it.
 */
public final class FutureSupport {

	private FutureSupport() {
	}

	/**
	 * Maps the result and the failure of a call.
	 * @param <A> the result of the call
	 * @param <B> the result for the caller
	 * @param source the call's future
	 * @param result maps a result; an exception that it throws is passed to
	 * {@code failure}
	 * @param failure maps the cause of a failure
	 * @return a future that completes with the mapped result or failure, and whose
	 * cancellation cancels {@code source}
	 */
	public static <A, B> CompletableFuture<B> map(CompletableFuture<A> source, Function<A, B> result,
			Function<Throwable, ? extends RuntimeException> failure) {
		CompletableFuture<B> mapped = new CompletableFuture<>();
		source.whenComplete((value, ex) -> {
			try {
				if (ex != null) {
					mapped.completeExceptionally(failure.apply(unwrap(ex)));
					return;
				}
				mapped.complete(result.apply(value));
			}
			catch (RuntimeException thrown) {
				mapped.completeExceptionally(failure.apply(thrown));
			}
		});
		mapped.whenComplete((value, ex) -> {
			if (mapped.isCancelled()) {
				source.cancel(true);
			}
		});
		return mapped;
	}

	/**
	 * Maps the result of a call and passes its failure on.
	 * @param <A> the result of the call
	 * @param <B> the result for the caller
	 * @param source the call's future
	 * @param result maps a result
	 * @return a future whose cancellation cancels {@code source}
	 */
	public static <A, B> CompletableFuture<B> map(CompletableFuture<A> source, Function<A, B> result) {
		return map(source, result, FutureSupport::asRuntime);
	}

	private static RuntimeException asRuntime(Throwable cause) {
		return (cause instanceof RuntimeException runtime) ? runtime : new CompletionException(cause);
	}

	private static Throwable unwrap(Throwable ex) {
		return (ex instanceof CompletionException && ex.getCause() != null) ? ex.getCause() : ex;
	}

}
