/**
 * The registered endpoints, the faults recorded against them, and the selection among the
 * endpoints of a plain service.
 */
package org.comfreyslip.entry.fleet;
