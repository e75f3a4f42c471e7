/**
 * Sends requests at their intended times and checks every answer.
 */
package org.comfreyslip.load.run;
