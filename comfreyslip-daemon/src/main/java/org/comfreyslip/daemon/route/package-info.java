/**
 * Endpoint health and plans under the endpoint table's lock, load probes.
 */
package org.comfreyslip.daemon.route;
