package org.comfreyslip.settings;

import java.util.function.Predicate;

/**
 * The values that a key allows.
 *
 * @param accepts whether a value is allowed
 * @param allowed description of the allowed values for faults and the reference page
 * @param remedy what the operator can do about another value
 */
record ValueRule(Predicate<String> accepts, String allowed, String remedy) {
}
