package org.comfreyslip.operator;

/**
 * A record of the configuration stream.
 */
sealed interface ConfigEntry permits ProposalEntry, CheckpointEntry {

}
