/**
 * INI texts: the operators' configuration, each daemon's own settings and their
 * validation.
 */
package org.comfreyslip.settings;
