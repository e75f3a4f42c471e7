package org.comfreyslip.coordination.config;

/**
 * Decision of a configuration fold about one log record.
 */
public sealed interface ConfigVerdict {

	/**
	 * The proposal was accepted, and its text is in effect.
	 *
	 * @param proposalId the proposal's id
	 * @param author the operator's name
	 * @param version the version that the proposal created
	 */
	record Accepted(String proposalId, String author, ConfigVersion version) implements ConfigVerdict {
	}

	/**
	 * The proposal was refused, because its base is no longer in effect.
	 *
	 * @param proposalId the proposal's id
	 * @param winner the acceptance that replaced the base
	 */
	record Refused(String proposalId, ConfigWinner winner) implements ConfigVerdict {
	}

	/**
	 * An earlier record with the same proposal id was accepted or refused; this one has
	 * no effect.
	 *
	 * @param proposalId the proposal's id
	 */
	record Duplicate(String proposalId) implements ConfigVerdict {
	}

	/**
	 * A reader without usable state started from the checkpoint.
	 *
	 * @param version the configuration version in the checkpoint
	 */
	record CheckpointAdopted(ConfigVersion version) implements ConfigVerdict {
	}

	/**
	 * The reader has state already, so that the checkpoint has no effect.
	 *
	 * @param contradicting whether the checkpoint claims a higher version than the
	 * reader's, or the same version with another text
	 */
	record CheckpointIgnored(boolean contradicting) implements ConfigVerdict {
	}

	/**
	 * The checkpoint is of no use, because records after it were trimmed from the log.
	 *
	 * @param foldedUpTo offset of the last record folded into the checkpoint
	 * @param firstReadable the oldest offset that the reader could read
	 */
	record CheckpointInsufficient(long foldedUpTo, long firstReadable) implements ConfigVerdict {
	}

	/**
	 * The record was skipped, because it is not a valid record of this stream.
	 *
	 * @param reason why it was skipped
	 */
	record Skipped(Reason reason) implements ConfigVerdict {

		/** Why a record was skipped. */
		public enum Reason {

			/** The bytes are not a record of this stream. */
			FOREIGN,

			/** A digest or an offset in the record is wrong. */
			DAMAGED,

			/** The proposal's base has a higher number than the version in effect. */
			BASE_AHEAD

		}

	}

}
