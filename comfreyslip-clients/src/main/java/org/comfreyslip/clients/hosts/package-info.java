/**
 * Client of the platform's host list.
 */
package org.comfreyslip.clients.hosts;
