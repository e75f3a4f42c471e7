package org.comfreyslip.daemon.admin;

import org.comfreyslip.coordination.config.ConfigVersion;

/**
 * The configuration in use ({@code GET /admin/config}).
 *
 * @param version its version
 * @param text the operators' text
 */
record AdminConfig(ConfigVersion version, String text) {
}
