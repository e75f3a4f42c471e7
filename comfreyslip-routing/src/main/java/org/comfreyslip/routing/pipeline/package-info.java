/**
 * The run of one answer through the stages of a pipeline: step identities, the ledger of
 * accepted passes, recovery of a lost stage.
 */
package org.comfreyslip.routing.pipeline;
