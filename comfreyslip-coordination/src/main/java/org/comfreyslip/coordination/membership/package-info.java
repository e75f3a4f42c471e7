/**
 * Each daemon's view of the other daemons: heartbeats, states, differences for peers, and
 * the selection of peers and log readers.
 */
package org.comfreyslip.coordination.membership;
