/**
 * Client of plain application services.
 */
package org.comfreyslip.clients.service;
