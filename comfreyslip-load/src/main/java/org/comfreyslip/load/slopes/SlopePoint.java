package org.comfreyslip.load.slopes;

/**
 * What was measured at one size.
 *
 * @param size the size
 * @param micros the median time of one operation in microseconds
 * @param heapBytes the heap that the subject retains
 * @param messageBytes the size of the message of one operation
 */
public record SlopePoint(int size, double micros, double heapBytes, double messageBytes) {
}
