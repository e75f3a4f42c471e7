/**
 * HTTP connections from callers and to endpoints, and the routing of requests between
 * them. Everything here runs on one event loop, so that no class needs locks.
 */
package org.comfreyslip.entry.http;
