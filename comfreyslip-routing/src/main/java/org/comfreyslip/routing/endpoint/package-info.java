/**
 * Health, load and selection of endpoints.
 */
package org.comfreyslip.routing.endpoint;
