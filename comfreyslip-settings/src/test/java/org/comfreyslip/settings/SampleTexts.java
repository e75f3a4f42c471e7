package org.comfreyslip.settings;

/**
 * A valid INI text for the tests, which replace or append lines to make it faulty.
 */
final class SampleTexts {

	static final String DIGEST = "a".repeat(64);

	static final String OTHER_DIGEST = "b".repeat(64);

	/** A valid operators' text with at least one section of each type. */
	static final String VALID = """
			[comfreyslip]
			format = 1

			[model steel-7b]
			layers = 48
			version = 3
			adapters = stamps, heat-numbers
			depends = archive

			[kind k1]
			layer-micros = 400

			[engine e1]
			address = 10.0.0.1:9000
			data-centre = si-a
			kind = k1
			model = steel-7b
			layers = 0-20
			fencing = checked

			[engine e2]
			address = [fd00::2]:9000
			data-centre = si-b
			kind = k1
			model = steel-7b
			layers = 20-48
			fencing = ignored

			[service archive]
			protected = POST /stamps, PUT /stamps/*/state
			lookup = /stamps/by-key/{key}
			enforces-send-by = true
			depends = index
			timeout-ms = 2000

			[service index]

			[endpoint a1]
			service = archive
			address = 10.0.0.3:8080
			data-centre = si-a

			[account mill]
			credential-sha256 = %s
			max-concurrent = 40
			priority = high
			weight = 3

			[operator neza]
			credential-sha256 = %s

			[link si-a si-b]
			bandwidth-mbit = 10000
			latency-micros = 300
			""".formatted(DIGEST, OTHER_DIGEST);

	private SampleTexts() {
	}

}
