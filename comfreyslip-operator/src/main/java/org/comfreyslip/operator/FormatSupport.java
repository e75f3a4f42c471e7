package org.comfreyslip.operator;

import java.util.List;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.settings.OperatorText;

/**
 * Refuses to propose a text in a format that a live daemon does not read.
 */
final class FormatSupport {

	private final Invocation invocation;

	FormatSupport(Invocation invocation) {
		this.invocation = invocation;
	}

	void check(List<DaemonApi> daemons) {
		for (DaemonApi daemon : daemons) {
			int format = formatOf(daemon);
			if (format != 0 && format < OperatorText.FORMAT) {
				throw new CodedException(ErrorCode.INVALID_SETTINGS, "daemon " + daemon.address()
						+ " reads formats up to " + format + "; update it before proposing this text");
			}
		}
	}

	private int formatOf(DaemonApi daemon) {
		try {
			return daemon.status().configFormat();
		}
		catch (CodedException ex) {
			if (ex.code() != ErrorCode.ENDPOINT_FAILED) {
				throw ex;
			}
			// A daemon that gives no response does not count as live.
			this.invocation.console().note("the supported format is not known: " + ex.getMessage());
			return 0;
		}
	}

}
