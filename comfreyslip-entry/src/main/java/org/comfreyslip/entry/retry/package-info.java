/**
 * Limits on repeated requests.
 */
package org.comfreyslip.entry.retry;
