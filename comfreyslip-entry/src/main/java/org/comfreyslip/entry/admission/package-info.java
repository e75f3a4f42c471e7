/**
 * Decides which requests are held back while capacity is short, by urgency and by client
 * account.
 */
package org.comfreyslip.entry.admission;
