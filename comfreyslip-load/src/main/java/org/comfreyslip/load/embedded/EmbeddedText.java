package org.comfreyslip.load.embedded;

import java.util.List;
import java.util.Map;

import org.comfreyslip.coordination.digest.Sha256;
import org.comfreyslip.load.scenario.KindPlan;
import org.comfreyslip.load.scenario.TopologyPlan;

/**
 * Writes the operators' text and the daemons' settings of an embedded run.
 */
final class EmbeddedText {

	private static final String DATA_CENTRE = "si-1";

	private EmbeddedText() {
	}

	static String operatorText(TopologyPlan plan, Map<String, String> engines, List<String> endpoints,
			List<String> keys) {
		StringBuilder text = new StringBuilder("[comfreyslip]\nformat = 1\n\n");
		text.append("[model " + EmbeddedDeployment.MODEL + "]\nlayers = " + plan.layers() + "\nversion = 1\n\n");
		for (KindPlan kind : plan.kinds()) {
			text.append("[kind " + kind.name() + "]\nlayer-micros = " + kind.layerMicros() + "\n\n");
		}
		for (TopologyPlan.PlannedEngine engine : plan.engines()) {
			text.append("[engine " + engine.name() + "]\naddress = " + engines.get(engine.name()) + "\ndata-centre = "
					+ DATA_CENTRE + "\nkind = " + engine.kind().name() + "\nmodel = " + EmbeddedDeployment.MODEL
					+ "\nlayers = " + engine.layers().first() + "-" + engine.layers().end()
					+ "\nfencing = checked\n\n");
		}
		text.append("[service " + EmbeddedDeployment.SERVICE
				+ "]\nprotected = POST /stamps\nlookup = /stamps/by-key/{key}\ntimeout-ms = 5000\n\n");
		for (int i = 0; i < endpoints.size(); i++) {
			text.append("[endpoint service-" + (i + 1) + "]\nservice = " + EmbeddedDeployment.SERVICE + "\naddress = "
					+ endpoints.get(i) + "\ndata-centre = " + DATA_CENTRE + "\n\n");
		}
		for (int i = 0; i < keys.size(); i++) {
			text.append("[account account-" + (i + 1) + "]\ncredential-sha256 = " + Sha256.ofText(keys.get(i))
					+ "\nmax-concurrent = 100000\n\n");
		}
		return text.toString();
	}

	static String daemonSettings(String name, Map<String, String> addresses, List<String> peers) {
		return "[daemon]\nname = " + name + "\ndata-centre = " + DATA_CENTRE + "\nregion = si-central\nhttp-listen = "
				+ addresses.get(name) + "\ngrpc-listen = " + addresses.get(name + "/grpc") + "\nadmin-listen = "
				+ addresses.get(name + "/admin") + "\n"
				+ (peers.isEmpty() ? "" : "peers = " + String.join(", ", peers) + "\n")
				+ "balancer-lag-ms = 100\ndrain-deadline-ms = 10000\n\n[platform]\nlog = " + addresses.get("log")
				+ "\nhost-list = " + addresses.get("hosts") + "\nweight-store = " + addresses.get("weights") + "\n";
	}

}
