/**
 * Calls between daemons: exchange of membership, endpoint notifications and account
 * usage, configuration from peers, and search for requests.
 */
package org.comfreyslip.daemon.peer;
