/**
 * The configuration in force and how it follows the log.
 */
package org.comfreyslip.daemon.config;
