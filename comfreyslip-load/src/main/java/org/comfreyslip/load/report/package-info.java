/**
 * Summaries of runs as JSON, CSV and plots.
 */
package org.comfreyslip.load.report;
