/**
 * Claims on idempotency keys, which ensure that a protected call is executed at most
 * once. All classes are state machines or values; they perform no I/O, read no clock and
 * start no threads.
 */
package org.comfreyslip.coordination.claim;
