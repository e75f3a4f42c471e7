/**
 * Bounded record of the daemon's recent requests.
 */
package org.comfreyslip.daemon.journal;
