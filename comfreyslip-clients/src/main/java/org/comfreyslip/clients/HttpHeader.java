package org.comfreyslip.clients;

/**
 * One HTTP header.
 *
 * @param name the name, case kept
 * @param value the value
 */
public record HttpHeader(String name, String value) {
}
