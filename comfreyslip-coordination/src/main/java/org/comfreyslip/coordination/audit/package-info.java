/**
 * The system's own record of what it did, as digest chains on the log stream
 * {@code audit}.
 */
package org.comfreyslip.coordination.audit;
