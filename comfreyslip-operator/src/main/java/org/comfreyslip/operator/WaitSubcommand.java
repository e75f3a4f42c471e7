package org.comfreyslip.operator;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.cli.Options;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * Waits until a version is in force on all given daemons.
 */
final class WaitSubcommand implements Subcommand {

	/** Default of {@code --timeout-ms}, about twice the time for a change, 14 s. */
	static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

	private static final long POLL_MILLIS = 500;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final String TIMEOUT = "timeout-ms";

	@Override
	public String name() {
		return "wait";
	}

	@Override
	public String arguments() {
		return "VERSION";
	}

	@Override
	public String summary() {
		return "wait until a version is in force on all given daemons";
	}

	@Override
	public SubcommandKind kind() {
		return SubcommandKind.QUERY;
	}

	@Override
	public Options options() {
		return new Options().addOption(CommonOptions.withValue(TIMEOUT, "MS",
				"longest time to wait, in milliseconds; default: " + DEFAULT_TIMEOUT_MILLIS));
	}

	@Override
	public ExitCode run(Invocation invocation) {
		long wanted = Invocation.toNumber("VERSION", invocation.arguments(1).get(0));
		long timeout = invocation.number(TIMEOUT).orElse(DEFAULT_TIMEOUT_MILLIS);
		List<DaemonApi> daemons = invocation.requiredDaemons();
		long deadline = invocation.ticker().nowNanos() + timeout * NANOS_PER_MILLI;
		while (true) {
			List<String> behind = behind(daemons, wanted);
			invocation.console()
				.note("version " + wanted + " in force on " + (daemons.size() - behind.size()) + " of " + daemons.size()
						+ " daemons");
			if (behind.isEmpty()) {
				invocation.result(new Result(wanted, true, behind), List.of("version " + wanted + " is in force"));
				return ExitCode.OK;
			}
			if (invocation.ticker().nowNanos() >= deadline) {
				invocation.result(new Result(wanted, false, behind), behind);
				return ExitCode.TIMED_OUT;
			}
			invocation.ticker().sleepMillis(POLL_MILLIS);
		}
	}

	private static List<String> behind(List<DaemonApi> daemons, long wanted) {
		List<String> behind = new ArrayList<>();
		for (DaemonApi daemon : daemons) {
			try {
				long number = daemon.status().configNumber();
				if (number < wanted) {
					behind.add(daemon.address() + ": version " + number);
				}
			}
			catch (CodedException ex) {
				if (ex.code() != ErrorCode.ENDPOINT_FAILED) {
					throw ex;
				}
				behind.add(daemon.address() + ": " + ex.getMessage());
			}
		}
		return List.copyOf(behind);
	}

	record Result(long version, boolean inForce, List<String> behind) {
	}

}
