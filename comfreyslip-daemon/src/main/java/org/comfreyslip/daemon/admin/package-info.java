/**
 * The operators' HTTP interface.
 */
package org.comfreyslip.daemon.admin;
