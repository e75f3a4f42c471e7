/**
 * Lookup of the route that applies to a request.
 */
package org.comfreyslip.entry.route;
