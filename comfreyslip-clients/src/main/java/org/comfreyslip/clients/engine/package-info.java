/**
 * Client of a model engine and its messages.
 */
package org.comfreyslip.clients.engine;
