/**
 * Protected calls of plain services: calls with an idempotency key, which are claimed in
 * the claim streams of the log before they are sent.
 */
package org.comfreyslip.daemon.claim;
