/**
 * Admission of requests by deadline, account share, priority and concurrency limit, and
 * the retry budget.
 */
package org.comfreyslip.routing.admission;
