/**
 * Claim streams and protected calls.
 */
package org.comfreyslip.daemon.claim;
