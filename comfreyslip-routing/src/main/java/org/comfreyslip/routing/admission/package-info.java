/**
 * Admission by deadline, priority, account share and concurrency; retries.
 */
package org.comfreyslip.routing.admission;
