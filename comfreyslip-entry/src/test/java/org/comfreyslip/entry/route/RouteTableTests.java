package org.comfreyslip.entry.route;

import org.comfreyslip.entry.Samples;
import org.comfreyslip.entry.model.Route;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RouteTable}. They guard against requests that are sent to a service
 * that the configuration does not provide for them.
 */
class RouteTableTests {

	private final RouteTable table = new RouteTable(Samples.configuration(Samples.route("short", "/docs/"),
			Samples.route("long", "/docs/old/"), Samples.route("other", "/stamps/")));

	@Test
	void theRouteWithTheLongestMatchingPrefixIsFound() {
		assertThat(this.table.find("api.example", "/docs/old/7")).map(Route::name).contains("long");
		assertThat(this.table.find("api.example", "/docs/new/7")).map(Route::name).contains("short");
	}

	@Test
	void aPrefixMatchesOnlyUpToASlash() {
		assertThat(this.table.find("api.example", "/docsold")).isEmpty();
		assertThat(this.table.find("api.example", "/docs/")).map(Route::name).contains("short");
	}

	@Test
	void thePortAndCaseOfTheHostAndTheQueryAreIgnored() {
		assertThat(this.table.find("API.example:8080", "/stamps/1?path=/docs/")).map(Route::name).contains("other");
	}

	@Test
	void anUnknownHostHasNoRoute() {
		assertThat(this.table.find("else.example", "/docs/1")).isEmpty();
	}

}
