/**
 * Scenario files and the arrivals that follow from them.
 */
package org.comfreyslip.load.scenario;
