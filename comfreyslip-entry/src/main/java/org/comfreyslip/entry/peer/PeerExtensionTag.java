package org.comfreyslip.entry.peer;

/**
 * Tags of the blocks that parts of the daemon add to the messages between daemons. A tag
 * is never used again for another content.
 */
public final class PeerExtensionTag {

	/** The holder of the placement duty. */
	public static final int PLACEMENT_DUTY = 1;

	/** Demand and admitted work by priority and account. */
	public static final int ADMISSION = 2;

	/** Callers that were told when to return. */
	public static final int APPOINTMENTS = 3;

	/** Open requests at the endpoints of plain services. */
	public static final int PLAIN_LOADS = 4;

	/** Prompts that wait to be read at engines. */
	public static final int WAITING_PROMPTS = 5;

	private PeerExtensionTag() {
	}

}
