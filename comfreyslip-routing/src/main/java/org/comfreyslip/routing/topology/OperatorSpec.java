package org.comfreyslip.routing.topology;

import java.util.List;

/**
 * An operator, who may use the administration interface, of the operators' text.
 *
 * @param name the operator's name
 * @param credentialDigests SHA-256 digests of the accepted bearer keys, in lower-case hex
 */
public record OperatorSpec(String name, List<String> credentialDigests) {
}
