/**
 * The maintenance lease, and the orders to engines that its holder sends.
 */
package org.comfreyslip.daemon.order;
