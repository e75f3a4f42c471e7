/**
 * Stand-in for the platform's host list.
 */
package org.comfreyslip.standins.hosts;
