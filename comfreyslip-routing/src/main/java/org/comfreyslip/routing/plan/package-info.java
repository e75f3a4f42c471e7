/**
 * Pipeline plans: which engines run which layers of a response.
 */
package org.comfreyslip.routing.plan;
