package org.comfreyslip.load.slopes;

import org.comfreyslip.routing.admission.AccountShares;

/**
 * Use of all accounts as reported by one peer, in a table with reports of 56 peers, the
 * daemons of a data centre.
 */
final class AccountSlope implements SlopeSubject {

	private static final int PEERS = 56;

	private final AccountShares shares = new AccountShares();

	private final int accounts;

	private long now;

	private AccountSlope(int accounts) {
		this.accounts = accounts;
		for (int peer = 0; peer < PEERS; peer++) {
			report("daemon-" + peer);
		}
	}

	static AccountSlope of(int accounts) {
		return new AccountSlope(accounts);
	}

	@Override
	public Object work() {
		this.now++;
		report("daemon-1");
		return this.shares;
	}

	@Override
	public long messageBytes() {
		return 0;
	}

	private void report(String peer) {
		for (int account = 0; account < this.accounts; account++) {
			this.shares.onPeerUsageReport(peer, "account-" + account, 1 + (int) (this.now & 1), this.now);
		}
	}

}
