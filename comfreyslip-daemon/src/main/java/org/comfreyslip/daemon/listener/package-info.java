/**
 * What all HTTP listeners of the daemon do before Jooby sees a request.
 */
package org.comfreyslip.daemon.listener;
