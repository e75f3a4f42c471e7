package org.comfreyslip.entry.model;

/**
 * A kind of accelerator, with its speed relative to the times in {@link EngineSpec}.
 *
 * @param name the name under which endpoints report the kind
 * @param memoryMb memory for weights and KV cache, in MB
 * @param stepFactor factor on the time of a decoding step; larger is slower
 * @param prefillFactor factor on the time of the prefill; larger is slower
 */
public record AcceleratorKind(String name, double memoryMb, double stepFactor, double prefillFactor) {
}
