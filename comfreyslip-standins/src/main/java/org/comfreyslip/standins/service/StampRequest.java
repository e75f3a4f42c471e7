package org.comfreyslip.standins.service;

/**
 * Body of {@code POST /stamps}.
 *
 * @param certificate name of the certificate
 * @param inspector who verified it
 */
public record StampRequest(String certificate, String inspector) {
}
