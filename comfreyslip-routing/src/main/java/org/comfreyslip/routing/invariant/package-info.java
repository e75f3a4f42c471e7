/**
 * Creation of errors for broken invariants of the routing decisions.
 */
package org.comfreyslip.routing.invariant;
