/**
 * Decides whether this daemon reaches the endpoints of a service, and what becomes of
 * requests if it does not: which other daemon takes them, and whether the daemon leaves
 * the rotation of the load balancer. No input or output.
 */
package org.comfreyslip.entry.reach;
