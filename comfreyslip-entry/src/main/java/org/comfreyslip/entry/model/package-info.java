/**
 * What a daemon believes about routes, client accounts, services and endpoints. Records
 * only; they are built by the adapter of the platform and by tests.
 */
package org.comfreyslip.entry.model;
