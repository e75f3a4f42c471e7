/**
 * Error codes and the boundary between calls that did not run and calls whose outcome is
 * open. Shared by all coordination packages.
 */
package org.comfreyslip.coordination;
