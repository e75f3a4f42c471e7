package org.comfreyslip.clients;

/**
 * Body of an error response of the platform and of the engines.
 *
 * @param code name of an {@link org.comfreyslip.coordination.ErrorCode}
 * @param message description of the error
 */
public record ErrorBody(String code, String message) {
}
