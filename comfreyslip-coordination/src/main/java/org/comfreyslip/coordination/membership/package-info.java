/**
 * Each daemon's view of the other daemons: heartbeats, member states, differences for
 * peers, and the selection of gossip peers, log readers and probing daemons.
 */
package org.comfreyslip.coordination.membership;
