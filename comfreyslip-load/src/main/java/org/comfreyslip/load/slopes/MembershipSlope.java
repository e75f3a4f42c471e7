package org.comfreyslip.load.slopes;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import org.comfreyslip.coordination.membership.AccountUsage;
import org.comfreyslip.coordination.membership.GossipPeerSelector;
import org.comfreyslip.coordination.membership.Member;
import org.comfreyslip.coordination.membership.MemberState;
import org.comfreyslip.coordination.membership.MemberTable;
import org.comfreyslip.coordination.membership.MembershipDelta;

/**
 * Measures bytes and CPU time of the membership exchange at several sizes. All daemons
 * run in this process on one thread, with a simulated clock. An exchange is a request and
 * a reply, each encoded, decoded and merged.
 * <p>
 * Run with
 * {@code java -cp comfreyslip-coordination/target/classes:comfreyslip-load/target/classes:HASH4J_JAR
 * org.comfreyslip.load.slopes.MembershipSlope}.
 */
public final class MembershipSlope {

	private static final int[] SIZES = { 8, 40, 160, 390 };

	private static final int DATA_CENTRES = 7;

	/** Accounts that a daemon with 60 open streams has in use. */
	private static final int ACCOUNTS_IN_USE = 30;

	private static final int WARM_UP_SECONDS = 20;

	private static final int MEASURED_SECONDS = 20;

	private static final long SECOND_NANOS = 1_000_000_000L;

	private static final long SEED = 7;

	private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

	private final RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(SEED);

	private final Map<String, Daemon> daemons = new HashMap<>();

	private long exchanges;

	private long bytes;

	private MembershipSlope(int size) {
		int dataCentres = (size <= SIZES[0]) ? 3 : DATA_CENTRES;
		for (int i = 0; i < size; i++) {
			Member member = new Member("daemon-" + i, 1_760_000_000_000L + i, "127.0.0.1:" + (20_000 + i),
					"dc-" + (i % dataCentres), "region-" + (i % dataCentres % 2));
			this.daemons.put(member.name(), new Daemon(member, this.random));
		}
		introduce();
	}

	/**
	 * Prints one line per size.
	 * @param arguments none
	 */
	public static void main(String[] arguments) {
		new MembershipSlope(SIZES[1]).measure();
		System.out.println("members exchanges bytes/exchange cpu-us/exchange bytes/s/daemon not-alive-views");
		for (int size : SIZES) {
			System.out.println(new MembershipSlope(size).measure());
		}
	}

	// Each daemon starts with the reports of all others, as after a first full exchange.
	private void introduce() {
		for (Daemon daemon : this.daemons.values()) {
			for (Daemon other : this.daemons.values()) {
				daemon.table.merge(new MembershipDelta("start", List.of(), List.of(other.table.self()), List.of(),
						List.of(), List.of()), 0);
			}
		}
	}

	private String measure() {
		run(1, WARM_UP_SECONDS);
		this.exchanges = 0;
		this.bytes = 0;
		long cpuBefore = this.threads.getCurrentThreadCpuTime();
		long notAlive = run(WARM_UP_SECONDS + 1, MEASURED_SECONDS);
		long cpu = this.threads.getCurrentThreadCpuTime() - cpuBefore;
		int size = this.daemons.size();
		return String.format("%7d %9d %14d %15.1f %14d %15d", size, this.exchanges, this.bytes / this.exchanges,
				cpu / 1000.0 / this.exchanges, this.bytes * 2 / MEASURED_SECONDS / size, notAlive);
	}

	private long run(int firstSecond, int seconds) {
		long notAlive = 0;
		for (int second = firstSecond; second < firstSecond + seconds; second++) {
			long now = second * SECOND_NANOS;
			for (Daemon daemon : this.daemons.values()) {
				daemon.table.tick(now, 1);
			}
			for (Daemon daemon : this.daemons.values()) {
				daemon.selector.selectDuePeers(daemon.table, now).forEach((peer) -> exchange(daemon, peer, now));
			}
			for (Daemon daemon : this.daemons.values()) {
				int alive = daemon.table.members((state) -> state == MemberState.ALIVE, now).size();
				notAlive += this.daemons.size() - alive;
			}
		}
		return notAlive;
	}

	private void exchange(Daemon from, Member peer, long now) {
		Daemon to = this.daemons.get(peer.name());
		String name = from.table.self().member().name();
		send(from.table.deltaFor(peer.name(), usage()), to, now);
		send(to.table.deltaFor(name, usage()), from, now);
		from.table.onExchangeConfirmed(peer.name());
		to.table.onExchangeConfirmed(name);
		this.exchanges++;
	}

	private void send(MembershipDelta delta, Daemon to, long now) {
		byte[] message = delta.encode();
		this.bytes += message.length;
		to.table.merge(MembershipDelta.decode(message), now);
	}

	private List<AccountUsage> usage() {
		List<AccountUsage> usage = new ArrayList<>();
		for (int i = 0; i < ACCOUNTS_IN_USE; i++) {
			usage.add(new AccountUsage("account-" + this.random.nextInt(2700), 1 + this.random.nextInt(4)));
		}
		return usage;
	}

	private static final class Daemon {

		private final MemberTable table;

		private final GossipPeerSelector selector;

		Daemon(Member member, RandomGenerator random) {
			this.table = new MemberTable(member, 0);
			this.selector = new GossipPeerSelector(member, random, random.nextLong(SECOND_NANOS));
		}

	}

}
