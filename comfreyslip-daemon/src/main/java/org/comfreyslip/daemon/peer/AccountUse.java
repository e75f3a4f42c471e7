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
 * Account usage in exchanges. An account's zero is sent once, to the next peer only; the
 * reports at the other peers expire by themselves. Thread-safe.
 */
final class AccountUse {

	private final ConfigHolder holder;

	private final Admission admission;

	private final Set<String> used = new HashSet<>();

	AccountUse(ConfigHolder holder, Admission admission) {
		this.holder = holder;
		this.admission = admission;
	}

	synchronized List<AccountUsage> own() {
		List<AccountUsage> usage = new ArrayList<>();
		this.holder.current().ifPresent((config) -> {
			for (AccountSpec account : config.topology().accounts()) {
				int open = this.admission.openRequestCount(account.name());
				boolean wasUsed = (open > 0) ? this.used.add(account.name()) : this.used.remove(account.name());
				if (open > 0 || wasUsed) {
					usage.add(new AccountUsage(account.name(), open));
				}
			}
		});
		return usage;
	}

	void onPeer(MembershipDelta delta, long now) {
		for (AccountUsage usage : delta.usage()) {
			this.admission.recordPeerUsage(delta.sender(), usage.account(), usage.inUse(), now);
		}
	}

}
