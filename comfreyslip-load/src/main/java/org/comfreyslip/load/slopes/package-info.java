/**
 * Time, memory and bytes of single parts at several sizes, and the slopes between them.
 */
package org.comfreyslip.load.slopes;
