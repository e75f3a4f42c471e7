/**
 * Ranking of members that every daemon computes alike without talking to the others.
 */
package org.comfreyslip.coordination.ranking;
