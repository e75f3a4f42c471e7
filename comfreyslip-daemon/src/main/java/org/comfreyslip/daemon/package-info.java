/**
 * The router daemon: wiring, start and shutdown, log events.
 */
package org.comfreyslip.daemon;
