/**
 * JSON encoding of the records on the system's own log streams.
 */
package org.comfreyslip.clients.record;
