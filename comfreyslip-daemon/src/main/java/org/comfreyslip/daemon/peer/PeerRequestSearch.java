package org.comfreyslip.daemon.peer;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

import org.comfreyslip.clients.JsonCodec;
import org.comfreyslip.coordination.membership.Member;
import org.comfreyslip.daemon.journal.FoundRequest;
import org.comfreyslip.daemon.journal.RequestRecord;
import org.comfreyslip.daemon.journal.RequestSearch;
import org.comfreyslip.wire.FindRequestReply;

/**
 * Searches the journals of all other daemons at once for a request. Peers whose calls
 * fail are ignored.
 */
final class PeerRequestSearch implements RequestSearch {

	private final PeerMembership membership;

	private final PeerClients clients;

	private final LongSupplier clock;

	PeerRequestSearch(PeerMembership membership, PeerClients clients, LongSupplier clock) {
		this.membership = membership;
		this.clients = clients;
		this.clock = clock;
	}

	@Override
	public CompletableFuture<Optional<FoundRequest>> find(String id) {
		List<Member> peers = this.membership.otherMembers(this.clock.getAsLong());
		CompletableFuture<Optional<FoundRequest>> first = new CompletableFuture<>();
		List<CompletableFuture<Void>> searches = peers.stream().map((peer) -> searchPeer(peer, id, first)).toList();
		CompletableFuture.allOf(searches.toArray(CompletableFuture[]::new))
			.whenComplete((done, ex) -> first.complete(Optional.empty()));
		return first;
	}

	private CompletableFuture<Void> searchPeer(Member peer, String id,
			CompletableFuture<Optional<FoundRequest>> first) {
		return this.clients.findRequest(peer.address(), id).thenAccept((reply) -> {
			if (reply.getFound()) {
				first.complete(Optional.of(read(reply)));
			}
		}).exceptionally((ex) -> null);
	}

	private static FoundRequest read(FindRequestReply reply) {
		byte[] json = reply.getRecord().getBytes(StandardCharsets.UTF_8);
		return new FoundRequest(reply.getDaemon(), JsonCodec.read(json, RequestRecord.class));
	}

}
