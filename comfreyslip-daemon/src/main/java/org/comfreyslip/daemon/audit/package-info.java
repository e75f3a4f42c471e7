/**
 * Records the decisions and actions of this daemon in the log stream {@code audit}.
 */
package org.comfreyslip.daemon.audit;
