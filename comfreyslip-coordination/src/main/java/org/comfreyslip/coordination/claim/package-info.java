/**
 * Claims on idempotency keys: at most one execution of a protected call. All classes are
 * state machines or values; they contain no I/O, clock or thread.
 */
package org.comfreyslip.coordination.claim;
