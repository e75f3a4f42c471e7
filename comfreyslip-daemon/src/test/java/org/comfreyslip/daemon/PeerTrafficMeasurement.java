package org.comfreyslip.daemon;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;

import com.sun.management.OperatingSystemMXBean;

/**
 * Measures the messages between idle daemons of one data centre, the CPU time of their
 * threads for peers and timers, and that of the process, which also runs the platform's
 * stand-ins. Started by hand; its arguments are the numbers of daemons.
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
			group.propose(DaemonGroup.configText(1));
			for (int i = 0; i < count; i++) {
				String[] seeds = daemons.stream()
					.limit(1)
					.map((daemon) -> daemon.peers().self().address())
					.toArray(String[]::new);
				daemons.add(group.start("d" + i, seeds));
			}
			Thread.sleep(WARM_UP_MILLIS);
			long bytesBefore = bytes(daemons);
			long cpuNanosBefore = cpuNanos();
			long peerNanosBefore = threadNanos("peer");
			long timerNanosBefore = threadNanos("timer");
			Thread.sleep(MEASURE_MILLIS);
			double seconds = MEASURE_MILLIS / 1e3;
			System.out.printf(
					"RESULT daemons %d live %d: %.0f bytes/s sent+received per daemon, CPU of one core: process "
							+ "%.2f%%, peer threads per daemon %.3f%%, timers per daemon %.3f%%%n",
					count, daemons.get(0).peers().liveDaemons(), (bytes(daemons) - bytesBefore) / seconds / count,
					percent(cpuNanos() - cpuNanosBefore, seconds),
					percent(threadNanos("peer") - peerNanosBefore, seconds) / count,
					percent(threadNanos("timer") - timerNanosBefore, seconds) / count);
		}
	}

	private static long bytes(List<Daemon> daemons) {
		return daemons.stream()
			.mapToLong((daemon) -> daemon.peers().sentBytes() + daemon.peers().receivedBytes())
			.sum();
	}

	private static double percent(long nanos, double seconds) {
		return nanos / 1e7 / seconds;
	}

	// The threads of the daemons of an earlier count have ended by the second reading.
	private static long threadNanos(String prefix) {
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		long sum = 0;
		for (long id : threads.getAllThreadIds()) {
			ThreadInfo info = threads.getThreadInfo(id);
			if (info != null && info.getThreadName().matches(prefix + "(-io)?-\\d+")) {
				sum += threads.getThreadCpuTime(id);
			}
		}
		return sum;
	}

	private static long cpuNanos() {
		return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
	}

}
