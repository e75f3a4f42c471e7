/**
 * Decides which daemon holds the placement duty, that is, may order engines to hold
 * layers. The store keeps a log of records that are appended only if the log ends where
 * their writer believes; the writer of the last record is the holder. No input or output.
 */
package org.comfreyslip.entry.duty;
