package org.comfreyslip.coordination.config;

/**
 * The accepted proposal because of which another proposal on the same base was refused.
 *
 * @param version the version that the accepted proposal created, or the version in effect
 * if the fold no longer remembers the proposal
 * @param author the operator's name, empty if not known
 * @param proposalId the accepted proposal's id, empty if not known
 */
public record ConfigWinner(ConfigVersion version, String author, String proposalId) {
}
