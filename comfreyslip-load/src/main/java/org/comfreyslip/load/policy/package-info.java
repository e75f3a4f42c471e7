/**
 * Deterministic comparisons of the routing policies on queues, without processes or a
 * network.
 */
package org.comfreyslip.load.policy;
