/**
 * Limits on the number of retries.
 */
package org.comfreyslip.entry.retry;
