/**
 * The HTTP layer that all clients of the platform share.
 */
package org.comfreyslip.clients;
