package org.comfreyslip.entry.duty;

import java.util.Arrays;
import java.util.Optional;

import org.comfreyslip.entry.peer.PeerExtension;
import org.comfreyslip.entry.peer.PeerExtensionTag;

/**
 * Block with what this daemon knows of the holder of the placement duty: format version,
 * whether it knows of no daemon of an earlier release, and the notice if there is one.
 */
public final class DutyExtension implements PeerExtension {

	private static final int FORMAT_VERSION = 1;

	/**
	 * Longest time that a datagram waits until it is read, in ms. It counts as part of
	 * the age, since otherwise a notice that many daemons pass on would hardly grow
	 * older.
	 */
	private static final long MAX_UNREAD_MS = DutyRunner.IDLE_INTERVAL_MS;

	/** Size of the content before the notice. */
	private static final int HEAD_BYTES = 2;

	private final PlacementDuty duty;

	private final ReleaseWatch watch;

	private final Runnable onMissingBlock;

	/**
	 * Creates the block.
	 * @param duty the state of this daemon
	 * @param watch told of the blocks of the others
	 * @param onMissingBlock called when a message has none
	 */
	public DutyExtension(PlacementDuty duty, ReleaseWatch watch, Runnable onMissingBlock) {
		this.duty = duty;
		this.watch = watch;
		this.onMissingBlock = onMissingBlock;
	}

	@Override
	public int tag() {
		return PeerExtensionTag.PLACEMENT_DUTY;
	}

	@Override
	public Optional<byte[]> content(long nowNanos) {
		byte[] notice = this.duty.notice(nowNanos).map(DutyNotice::encode).orElse(new byte[0]);
		byte[] content = new byte[HEAD_BYTES + notice.length];
		content[0] = FORMAT_VERSION;
		content[1] = (byte) ((this.watch.knowsNoEarlierRelease()) ? 1 : 0);
		System.arraycopy(notice, 0, content, HEAD_BYTES, notice.length);
		return Optional.of(content);
	}

	@Override
	public void onContent(String sender, String dataCentre, Optional<byte[]> content, long nowNanos) {
		if (content.isEmpty()) {
			this.watch.onMessage(sender, Optional.empty());
			this.onMissingBlock.run();
			return;
		}
		byte[] bytes = content.get();
		if (bytes.length < HEAD_BYTES) {
			return;
		}
		// The block of a later release shows that it takes part, whatever its content.
		boolean known = bytes[0] == FORMAT_VERSION;
		this.watch.onMessage(sender, Optional.of(!known || bytes[1] != 0));
		if (known) {
			DutyNotice.decode(Arrays.copyOfRange(bytes, HEAD_BYTES, bytes.length))
				.map((notice) -> notice.passedOn(MAX_UNREAD_MS + Math.max(1, notice.ageMs())))
				.ifPresent((notice) -> this.duty.onNotice(notice, nowNanos));
		}
	}

}
