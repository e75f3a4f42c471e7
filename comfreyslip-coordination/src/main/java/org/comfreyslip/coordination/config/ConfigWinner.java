package org.comfreyslip.coordination.config;

/**
 * The acceptance that made another proposal's base obsolete.
 *
 * @param version the winner's version, or the version in effect if the winner is no
 * longer known
 * @param author the winner's author, empty if not known
 * @param proposalId the winner's id, empty if not known
 */
public record ConfigWinner(ConfigVersion version, String author, String proposalId) {
}
