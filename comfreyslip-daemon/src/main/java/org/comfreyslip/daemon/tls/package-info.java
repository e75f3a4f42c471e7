/**
 * TLS of the listeners for callers and operators.
 */
package org.comfreyslip.daemon.tls;
