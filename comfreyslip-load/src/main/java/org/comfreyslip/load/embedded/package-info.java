/**
 * Daemons and stand-ins as child processes of the load tool.
 */
package org.comfreyslip.load.embedded;
