/**
 * Appends the system's own record to the log stream {@code audit}.
 */
package org.comfreyslip.daemon.audit;
