/**
 * Setup that all HTTP listeners of the daemon share: start, and the decoding of requests
 * before Jooby handles them.
 */
package org.comfreyslip.daemon.listener;
