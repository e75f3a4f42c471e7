/**
 * The operators' command: checks, proposes and follows configurations, and asks daemons.
 */
package org.comfreyslip.operator;
