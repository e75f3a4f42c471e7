/**
 * HTTP interface of a daemon for operators and for the checks of the balancer.
 */
package org.comfreyslip.daemon.admin;
