package org.comfreyslip.settings;

/**
 * Kind of a {@link DependencyNode}. Both kinds can depend on services; the lower-case
 * name stands in front of the node's name in reports.
 */
public enum DependencyKind {

	/** A service of the section type {@code [service NAME]}. */
	SERVICE,

	/** A model of the section type {@code [model NAME]}. */
	MODEL

}
