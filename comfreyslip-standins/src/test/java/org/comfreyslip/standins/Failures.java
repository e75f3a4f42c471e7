package org.comfreyslip.standins;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.comfreyslip.coordination.CodedException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Access to the error of a failed future.
 */
public final class Failures {

	private Failures() {
	}

	public static CodedException of(CompletableFuture<?> future) {
		CompletionException thrown = catchThrowableOfType(CompletionException.class, future::join);
		assertThat(thrown).hasCauseInstanceOf(CodedException.class);
		return (CodedException) thrown.getCause();
	}

}
