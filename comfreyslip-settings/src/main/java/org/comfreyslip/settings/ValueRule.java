package org.comfreyslip.settings;

import java.util.function.Predicate;

/**
 * The rule for the values of a key.
 *
 * @param accepts tests whether a value is allowed
 * @param allowed description of the allowed values for faults and the reference page
 * @param remedy what the operator can do if the value is not allowed
 */
record ValueRule(Predicate<String> accepts, String allowed, String remedy) {
}
