/**
 * Messages that daemons send each other directly: the loads that they put on engines, the
 * endpoints that fail, and how fresh their configuration is. Correctness does not depend
 * on these messages. They let daemons share engines without a central coordinator, and
 * keep serving while the store rejects some of them.
 */
package org.comfreyslip.entry.peer;
