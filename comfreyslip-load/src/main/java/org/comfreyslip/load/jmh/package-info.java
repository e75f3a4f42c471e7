/**
 * JMH benchmarks of the routing decisions.
 */
package org.comfreyslip.load.jmh;
