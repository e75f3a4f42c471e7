/**
 * Stand-ins for the platform and the endpoints: server, faults and program.
 */
package org.comfreyslip.standins;
