/**
 * Stand-in for the platform's log.
 */
package org.comfreyslip.standins.log;
