/**
 * Ranking of members that all daemons with the same members compute identically, without
 * communication.
 */
package org.comfreyslip.coordination.ranking;
