/**
 * The entry daemon: takes requests of callers, decides about them and forwards them to
 * endpoints. The platform's own names stay in its adapter.
 */
package org.comfreyslip.entry;
