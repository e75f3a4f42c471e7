/**
 * Generation of one response through the stages of a path: step identities, the ledger of
 * accepted forward passes, and recovery of a lost stage.
 */
package org.comfreyslip.routing.pipeline;
