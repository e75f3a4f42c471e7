/**
 * Placement of model layers on engines, and choice of the path that a stream takes
 * through them. Contains decisions only; calls to engines and to the store go through
 * interfaces.
 */
package org.comfreyslip.entry.layers;
