/**
 * What a daemon knows of routes, client accounts, services and endpoints. The values are
 * built by the platform's adapter and by tests.
 */
package org.comfreyslip.entry.model;
