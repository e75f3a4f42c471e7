/**
 * Placement of models, versions and adapters on engines.
 */
package org.comfreyslip.routing.placement;
