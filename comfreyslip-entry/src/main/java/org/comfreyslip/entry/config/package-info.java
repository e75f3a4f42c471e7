/**
 * Following the store: what is known, how old that knowledge is, and when an API key may
 * still be accepted.
 */
package org.comfreyslip.entry.config;
