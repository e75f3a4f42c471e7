/**
 * Runs answers: an answer is the sequence of tokens that a model generates for one
 * request. For each answer this package plans a path of engines, drives the state machine
 * of the pipeline run and passes the tokens to a sink.
 */
package org.comfreyslip.daemon.answer;
