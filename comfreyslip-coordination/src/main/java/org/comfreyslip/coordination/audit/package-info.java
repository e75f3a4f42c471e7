/**
 * The audit log: hash chains of records on the log stream {@code audit} that state what
 * the daemons did.
 */
package org.comfreyslip.coordination.audit;
