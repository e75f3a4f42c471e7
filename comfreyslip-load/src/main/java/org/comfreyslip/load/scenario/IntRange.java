package org.comfreyslip.load.scenario;

import java.util.random.RandomGenerator;

/**
 * A range of sizes that are equally likely.
 *
 * @param least the smallest size
 * @param most the largest size, inclusive
 */
public record IntRange(int least, int most) {

	/**
	 * Draws a size.
	 * @param random the source
	 * @return a size of the range
	 */
	public int draw(RandomGenerator random) {
		return random.nextInt(this.least, this.most + 1);
	}

}
