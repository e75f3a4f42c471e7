/**
 * Reads the topics of the store and tracks how old the knowledge of each is, on which
 * depends whether an API key may still be accepted.
 */
package org.comfreyslip.entry.config;
