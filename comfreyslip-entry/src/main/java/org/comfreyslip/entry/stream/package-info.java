/**
 * Splitting of streamed responses into events.
 */
package org.comfreyslip.entry.stream;
