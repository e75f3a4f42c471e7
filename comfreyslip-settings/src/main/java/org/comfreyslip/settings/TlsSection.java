package org.comfreyslip.settings;

/**
 * Section {@code [tls]} of a daemon's settings.
 *
 * @param certificate path of the daemon's certificate chain, PEM
 * @param key path of the daemon's private key, PEM
 * @param authorities path of the accepted authorities' certificates, PEM
 */
public record TlsSection(String certificate, String key, String authorities) {
}
