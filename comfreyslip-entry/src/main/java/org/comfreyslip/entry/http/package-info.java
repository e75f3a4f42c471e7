/**
 * Connections of callers and to endpoints. Everything here runs on one event loop, so
 * that no class needs locks.
 */
package org.comfreyslip.entry.http;
