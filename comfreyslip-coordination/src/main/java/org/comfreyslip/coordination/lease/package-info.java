/**
 * Leases and fencing numbers on the log stream {@code leases}, and the gate that lets
 * orders to endpoints through only under a valid lease.
 */
package org.comfreyslip.coordination.lease;
