/**
 * Drives the state machine of one answer against the engines.
 */
package org.comfreyslip.daemon.answer;
