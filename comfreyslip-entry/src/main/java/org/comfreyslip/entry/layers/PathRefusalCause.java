package org.comfreyslip.entry.layers;

import java.util.List;
import java.util.function.Predicate;

import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.EngineSpec;

/**
 * Why a path search gave no path. Only {@link #CAPACITY} is a shortage: holding back
 * other requests does not help against the other causes.
 */
public enum PathRefusalCause {

	/** No usable engine holds some layers. */
	MISSING_LAYERS,

	/** No engine that holds the first layer may be the first stage. */
	NO_FIRST_STAGE,

	/** A request of mean size has a path in the own data centre. */
	LARGE_REQUEST,

	/** A request of mean size has a path, but none in the own data centre. */
	OTHER_DATA_CENTRE,

	/** A request of mean size has no path either. */
	CAPACITY;

	/**
	 * Finds the cause of a search that gave no path.
	 * @param engine the model engine of the service
	 * @param finder the finder that gave no path
	 * @param candidates endpoints that may be used
	 * @param dataCentre the daemon's data centre
	 * @param tokens tokens for which there was no path
	 * @param allowedFirst tells which endpoints may serve the first stage
	 * @param nowNanos the current time in ns
	 * @return the first cause that applies, in the order of the constants
	 */
	public static PathRefusalCause find(EngineSpec engine, PathFinder finder, List<Endpoint> candidates,
			String dataCentre, int tokens, Predicate<Endpoint> allowedFirst, long nowNanos) {
		if (!finder.missingLayers(candidates).isEmpty()) {
			return MISSING_LAYERS;
		}
		if (candidates.stream()
			.filter((one) -> one.layers().filter((range) -> range.contains(0)).isPresent())
			.noneMatch(allowedFirst)) {
			return NO_FIRST_STAGE;
		}
		int meanTokens = engine.meanPromptTokens() + engine.meanResponseTokens();
		if (tokens <= meanTokens) {
			return CAPACITY;
		}
		return finder.find(candidates, dataCentre, meanTokens, allowedFirst, nowNanos)
			.map((path) -> isWithin(path, dataCentre) ? LARGE_REQUEST : OTHER_DATA_CENTRE)
			.orElse(CAPACITY);
	}

	private static boolean isWithin(LayerPath path, String dataCentre) {
		return path.stages().stream().allMatch((stage) -> stage.endpoint().dataCentre().equals(dataCentre));
	}

}
