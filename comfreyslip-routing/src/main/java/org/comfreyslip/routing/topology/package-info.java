/**
 * Records of the sections of the operators' text: models, engines, services, endpoints,
 * client accounts and links.
 */
package org.comfreyslip.routing.topology;
