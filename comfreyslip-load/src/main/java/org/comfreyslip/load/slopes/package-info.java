/**
 * Measurements of how a cost grows with the size of the deployment.
 */
package org.comfreyslip.load.slopes;
