/**
 * Where the model's layers stand and which path a stream takes through them. Decisions
 * only, without input or output.
 */
package org.comfreyslip.entry.layers;
