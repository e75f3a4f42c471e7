/**
 * Client of plain application services.
 */
package org.comfreyslip.platform.service;
