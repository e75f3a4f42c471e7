/**
 * Creation of errors for violated invariants of routing decisions.
 */
package org.comfreyslip.routing.invariant;
