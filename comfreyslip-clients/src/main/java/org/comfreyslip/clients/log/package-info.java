/**
 * Client of the platform's append-only log.
 */
package org.comfreyslip.clients.log;
