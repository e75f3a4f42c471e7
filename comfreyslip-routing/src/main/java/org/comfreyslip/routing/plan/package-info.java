/**
 * Planning of paths: which engines run which layers of a model for a response.
 */
package org.comfreyslip.routing.plan;
