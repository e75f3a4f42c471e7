package org.comfreyslip.load.slopes;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * A line by least squares.
 *
 * @param slope the rise per unit
 * @param intercept the value at size 0
 */
public record SlopeFit(double slope, double intercept) {

	/**
	 * Fits a line.
	 * @param points at least two points of different size
	 * @param value the value of a point
	 * @return the line
	 */
	public static SlopeFit of(List<SlopePoint> points, ToDoubleFunction<SlopePoint> value) {
		double meanSize = points.stream().mapToDouble(SlopePoint::size).average().orElseThrow();
		double meanValue = points.stream().mapToDouble(value).average().orElseThrow();
		double above = 0;
		double below = 0;
		for (SlopePoint point : points) {
			above += (point.size() - meanSize) * (value.applyAsDouble(point) - meanValue);
			below += (point.size() - meanSize) * (point.size() - meanSize);
		}
		double slope = above / below;
		return new SlopeFit(slope, meanValue - slope * meanSize);
	}

}
