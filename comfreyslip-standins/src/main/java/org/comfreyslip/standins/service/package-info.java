/**
 * Stand-in for an archive or registry service.
 */
package org.comfreyslip.standins.service;
