package org.comfreyslip.daemon.peer;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.comfreyslip.coordination.membership.AccountUsage;
import org.comfreyslip.coordination.membership.MembershipDelta;
import org.comfreyslip.daemon.config.ConfigHolder;
import org.comfreyslip.daemon.http.Admission;
import org.comfreyslip.routing.topology.AccountSpec;

/**
 * Reports this daemon's open requests by client account in exchanges, and applies the
 * reports of peers. When an account's last request ends, a usage of zero is sent once, to
 * the next peer only; the reports at the other peers expire. Thread-safe.
 */
final class AccountUsageReporter {

	private final ConfigHolder holder;

	private final Admission admission;

	private final Set<String> reportedInUse = new HashSet<>();

	AccountUsageReporter(ConfigHolder holder, Admission admission) {
		this.holder = holder;
		this.admission = admission;
	}

	synchronized List<AccountUsage> collect() {
		List<AccountUsage> usage = new ArrayList<>();
		this.holder.current().ifPresent((config) -> {
			for (AccountSpec account : config.topology().accounts()) {
				int open = this.admission.openRequestCount(account.name());
				boolean changed = (open > 0) ? this.reportedInUse.add(account.name())
						: this.reportedInUse.remove(account.name());
				if (open > 0 || changed) {
					usage.add(new AccountUsage(account.name(), open));
				}
			}
		});
		return usage;
	}

	void onPeerDelta(MembershipDelta delta, long now) {
		for (AccountUsage usage : delta.usage()) {
			this.admission.recordPeerUsage(delta.sender(), usage.account(), usage.inUse(), now);
		}
	}

}
