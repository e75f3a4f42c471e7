package org.comfreyslip.acceptance.steps;

import io.cucumber.java.AfterAll;
import io.cucumber.java.BeforeAll;
import org.comfreyslip.acceptance.OperatorSite;

/**
 * The deployment that all scenarios share.
 */
public final class SiteHooks {

	private static OperatorSite site;

	private SiteHooks() {
	}

	/**
	 * Starts the deployment.
	 */
	@BeforeAll
	public static void start() {
		site = new OperatorSite();
	}

	/**
	 * Stops the deployment.
	 */
	@AfterAll
	public static void stop() {
		if (site != null) {
			site.close();
		}
	}

	static OperatorSite site() {
		return site;
	}

}
