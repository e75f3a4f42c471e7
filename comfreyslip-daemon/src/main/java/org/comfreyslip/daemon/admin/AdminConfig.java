package org.comfreyslip.daemon.admin;

import org.comfreyslip.coordination.config.ConfigVersion;

/**
 * Response with the configuration in force ({@code GET /admin/config}).
 *
 * @param version the version of the configuration
 * @param text the text that operators proposed
 */
record AdminConfig(ConfigVersion version, String text) {
}
