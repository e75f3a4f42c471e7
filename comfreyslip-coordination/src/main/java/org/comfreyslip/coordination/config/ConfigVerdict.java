package org.comfreyslip.coordination.config;

/**
 * What a fold decided about one log offset.
 */
public sealed interface ConfigVerdict {

	/**
	 * The proposal is in effect.
	 *
	 * @param proposalId the proposal
	 * @param author the operator
	 * @param version the new version
	 */
	record Accepted(String proposalId, String author, ConfigVersion version) implements ConfigVerdict {
	}

	/**
	 * The proposal's base is no longer in effect.
	 *
	 * @param proposalId the proposal
	 * @param winner what replaced the base
	 */
	record Refused(String proposalId, ConfigWinner winner) implements ConfigVerdict {
	}

	/**
	 * A record with this proposal id was decided before.
	 *
	 * @param proposalId the proposal
	 */
	record Duplicate(String proposalId) implements ConfigVerdict {
	}

	/**
	 * A reader without usable state starts from the checkpoint.
	 *
	 * @param version the checkpoint's version
	 */
	record CheckpointAdopted(ConfigVersion version) implements ConfigVerdict {
	}

	/**
	 * The reader has state, so the checkpoint has no effect.
	 *
	 * @param contradicting whether the checkpoint disagrees with the reader's state
	 */
	record CheckpointIgnored(boolean contradicting) implements ConfigVerdict {
	}

	/**
	 * Records after the checkpoint are no longer readable.
	 *
	 * @param foldedUpTo the checkpoint's last offset
	 * @param firstReadable the oldest offset that the reader has
	 */
	record CheckpointInsufficient(long foldedUpTo, long firstReadable) implements ConfigVerdict {
	}

	/**
	 * The record is not a valid record of this stream.
	 *
	 * @param reason why it was skipped
	 */
	record Skipped(Reason reason) implements ConfigVerdict {

		/** Why a record was skipped. */
		public enum Reason {

			/** The bytes are no record of this program. */
			FOREIGN,

			/** A digest or an offset in the record is wrong. */
			DAMAGED,

			/** The base does not exist yet at this offset. */
			BASE_AHEAD

		}

	}

}
