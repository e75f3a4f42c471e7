/**
 * The endpoints that exist, their health as this daemon sees it, and the choice among the
 * endpoints of a plain service.
 */
package org.comfreyslip.entry.fleet;
