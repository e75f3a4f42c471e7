package org.comfreyslip.daemon;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;

import com.sun.management.OperatingSystemMXBean;

/**
 * Measures the messages between idle daemons of one data centre, and the CPU time of a
 * process that runs them together with the platform's stand-ins. Started by hand; its
 * arguments are the numbers of daemons.
 */
public final class PeerTrafficMeasurement {

	private static final long WARM_UP_MILLIS = 15_000;

	private static final long MEASURE_MILLIS = 30_000;

	private PeerTrafficMeasurement() {
	}

	public static void main(String[] arguments) throws InterruptedException {
		for (String count : arguments) {
			measure(Integer.parseInt(count));
		}
	}

	private static void measure(int count) throws InterruptedException {
		try (DaemonGroup group = new DaemonGroup()) {
			List<Daemon> daemons = new ArrayList<>();
			group.propose(DaemonGroup.text(1));
			for (int i = 0; i < count; i++) {
				String[] seeds = daemons.stream()
					.limit(1)
					.map((daemon) -> daemon.peers().self().address())
					.toArray(String[]::new);
				daemons.add(group.start("d" + i, seeds));
			}
			Thread.sleep(WARM_UP_MILLIS);
			long bytes = bytes(daemons);
			long cpu = cpuNanos();
			Thread.sleep(MEASURE_MILLIS);
			double seconds = MEASURE_MILLIS / 1e3;
			System.out.printf("RESULT daemons %d live %d: %.0f bytes/s sent+received per daemon, process CPU %.2f%%%n",
					count, daemons.get(0).peers().liveDaemons(), (bytes(daemons) - bytes) / seconds / count,
					(cpuNanos() - cpu) / 1e7 / seconds);
		}
	}

	private static long bytes(List<Daemon> daemons) {
		return daemons.stream()
			.mapToLong((daemon) -> daemon.peers().sentBytes() + daemon.peers().receivedBytes())
			.sum();
	}

	private static long cpuNanos() {
		return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
	}

}
