/**
 * Stand-in for a model engine.
 */
package org.comfreyslip.standins.engine;
