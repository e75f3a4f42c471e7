package org.comfreyslip.settings;

import java.util.Locale;

/**
 * A service or a model in the dependency graph. A service and a model may have the same
 * name.
 *
 * @param kind what it is
 * @param name its name in the operators' text
 */
public record DependencyNode(DependencyKind kind, String name) implements Comparable<DependencyNode> {

	/**
	 * Returns the node of a service.
	 * @param name the service's name
	 * @return the node
	 */
	public static DependencyNode service(String name) {
		return new DependencyNode(DependencyKind.SERVICE, name);
	}

	/**
	 * Returns the node of a model.
	 * @param name the model's name
	 * @return the node
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
