package org.comfreyslip.settings;

/**
 * What can depend on a service.
 */
public enum DependencyKind {

	/** A plain service. */
	SERVICE,

	/** A model. */
	MODEL

}
