package org.comfreyslip.settings;

/**
 * Section {@code [tls]} of a daemon's settings.
 *
 * @param certificate path of the PEM file with the daemon's certificate chain
 * @param key path of the PEM file with the daemon's private key
 * @param authorities path of the PEM file with the certificates of the trusted
 * authorities
 */
public record TlsSection(String certificate, String key, String authorities) {
}
