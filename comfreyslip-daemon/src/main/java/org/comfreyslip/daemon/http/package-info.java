/**
 * The callers' HTTP interface.
 */
package org.comfreyslip.daemon.http;
