/**
 * Finds the route of a request.
 */
package org.comfreyslip.entry.route;
