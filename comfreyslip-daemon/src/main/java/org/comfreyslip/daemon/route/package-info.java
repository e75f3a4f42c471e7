/**
 * Endpoint health and planning under the lock of the endpoint table, and probes of
 * engines and endpoints.
 */
package org.comfreyslip.daemon.route;
