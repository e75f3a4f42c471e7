package org.comfreyslip.clients;

/**
 * One HTTP header.
 *
 * @param name name of the header, in the case in which it was sent
 * @param value text after the colon
 */
public record HttpHeader(String name, String value) {
}
