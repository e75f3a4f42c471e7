package org.comfreyslip.entry.model;

/**
 * A kind of accelerator.
 *
 * @param name the name under which endpoints report it
 * @param memoryMb memory for weights and KV cache, in MB
 * @param stepFactor factor on the time of a decoding step
 * @param readFactor factor on the time of prompt reading
 */
public record AcceleratorKind(String name, double memoryMb, double stepFactor, double readFactor) {
}
