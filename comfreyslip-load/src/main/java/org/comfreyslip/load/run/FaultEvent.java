package org.comfreyslip.load.run;

/**
 * A fault that was caused.
 *
 * @param fault the fault's name in the scenario
 * @param target the process or address
 * @param mode the mode
 * @param atNanos the instant, in nanoseconds after the start of the run
 */
public record FaultEvent(String fault, String target, String mode, long atNanos) {
}
