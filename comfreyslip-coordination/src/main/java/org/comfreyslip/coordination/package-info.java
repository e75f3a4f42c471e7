/**
 * Error codes, and the boundary between requests that were not run and requests that may
 * have run. Shared by all coordination packages.
 */
package org.comfreyslip.coordination;
