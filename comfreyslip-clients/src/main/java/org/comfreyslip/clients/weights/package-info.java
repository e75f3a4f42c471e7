/**
 * Client of the platform's weight store.
 */
package org.comfreyslip.clients.weights;
