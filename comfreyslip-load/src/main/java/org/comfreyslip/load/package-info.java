/**
 * Command line of the load tool.
 */
package org.comfreyslip.load;
