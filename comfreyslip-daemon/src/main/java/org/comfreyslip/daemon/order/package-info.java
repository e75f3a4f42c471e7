/**
 * The maintenance lease and what its holder orders.
 */
package org.comfreyslip.daemon.order;
