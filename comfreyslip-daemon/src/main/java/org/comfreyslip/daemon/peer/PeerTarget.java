package org.comfreyslip.daemon.peer;

import org.comfreyslip.coordination.membership.Member;

/**
 * A peer to begin an exchange with.
 *
 * @param name the member's name, or a placeholder for a seed whose name is not known yet
 * @param address the gRPC address
 */
record PeerTarget(String name, String address) {

	private static final String SEED = "seed ";

	static PeerTarget of(Member member) {
		return new PeerTarget(member.name(), member.address());
	}

	static PeerTarget ofSeed(String address) {
		// No member's name contains a blank, so that the placeholder differs from all
		// names.
		return new PeerTarget(SEED + address, address);
	}

}
