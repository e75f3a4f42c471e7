/**
 * What daemons tell each other directly: loads that they put on engines, endpoints that
 * fail, and how fresh their configuration is. Nothing here is needed to be correct; it
 * lets daemons share engines without a centre and serve on while the store turns some of
 * them away.
 */
package org.comfreyslip.entry.peer;
