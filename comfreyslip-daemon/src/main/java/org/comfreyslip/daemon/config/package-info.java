/**
 * Follows the configuration stream of the log and holds the configuration in force.
 */
package org.comfreyslip.daemon.config;
