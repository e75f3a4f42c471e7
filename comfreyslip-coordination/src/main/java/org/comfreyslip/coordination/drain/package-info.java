/**
 * Graceful shutdown of a daemon.
 */
package org.comfreyslip.coordination.drain;
