package org.comfreyslip.settings;

import java.util.Locale;

/**
 * A service or a model in the dependency graph. A service and a model may have the same
 * name.
 *
 * @param kind whether the node is a service or a model
 * @param name the second word of its section header in the operators' configuration text
 */
public record DependencyNode(DependencyKind kind, String name) implements Comparable<DependencyNode> {

	/**
	 * Creates the node of a service.
	 * @param name the service's name; not checked against any text
	 * @return a node of kind {@link DependencyKind#SERVICE}
	 */
	public static DependencyNode service(String name) {
		return new DependencyNode(DependencyKind.SERVICE, name);
	}

	/**
	 * Creates the node of a model.
	 * @param name the model's name; not checked against any text
	 * @return a node of kind {@link DependencyKind#MODEL}
	 */
	public static DependencyNode model(String name) {
		return new DependencyNode(DependencyKind.MODEL, name);
	}

	@Override
	public int compareTo(DependencyNode other) {
		int byKind = this.kind.compareTo(other.kind);
		return (byKind != 0) ? byKind : this.name.compareTo(other.name);
	}

	@Override
	public String toString() {
		return this.kind.name().toLowerCase(Locale.ROOT) + " " + this.name;
	}

}
