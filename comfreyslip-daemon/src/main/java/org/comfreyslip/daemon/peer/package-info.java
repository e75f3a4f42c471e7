/**
 * Calls between daemons: membership and load exchange, configuration from peers, and
 * search for requests.
 */
package org.comfreyslip.daemon.peer;
