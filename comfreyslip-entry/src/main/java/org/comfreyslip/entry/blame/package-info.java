/**
 * Finds out what requests have in common that crash endpoints, and refuses such requests.
 * No class here does I/O.
 */
package org.comfreyslip.entry.blame;
