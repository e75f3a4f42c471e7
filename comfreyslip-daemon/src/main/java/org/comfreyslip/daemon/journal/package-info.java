/**
 * Journal of the daemon's most recent requests, for operators.
 */
package org.comfreyslip.daemon.journal;
