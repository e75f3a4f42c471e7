/**
 * Stand-in for the weight store.
 */
package org.comfreyslip.standins.weights;
