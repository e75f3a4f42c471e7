/**
 * Leases and fencing tokens on the log stream {@code leases}, and orders to endpoints
 * that are sent only under a valid lease.
 */
package org.comfreyslip.coordination.lease;
