/**
 * Upper bounds of the throughput of models and services.
 */
package org.comfreyslip.routing.bound;
