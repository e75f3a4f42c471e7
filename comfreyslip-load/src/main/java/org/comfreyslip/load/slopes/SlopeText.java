package org.comfreyslip.load.slopes;

import org.comfreyslip.coordination.config.ConfigSnapshot;
import org.comfreyslip.coordination.config.ConfigVersion;
import org.comfreyslip.coordination.digest.Sha256;

/**
 * Operators' texts of the target size's shape: five models of 60 layers in three stages,
 * seven kinds and data centres, and three accounts per engine.
 */
final class SlopeText {

	private static final int MODELS = 5;

	private static final int KINDS = 7;

	private static final int LAYERS = 60;

	private static final int STAGES = 3;

	private static final int ACCOUNTS_PER_ENGINE = 3;

	private SlopeText() {
	}

	static ConfigSnapshot snapshot(String text, long number) {
		return new ConfigSnapshot(new ConfigVersion(number, number, Sha256.ofText(text)), text, number);
	}

	static String of(int engines, int changedAccount) {
		StringBuilder text = new StringBuilder("[comfreyslip]\nformat = 1\n\n");
		for (int i = 0; i < MODELS; i++) {
			text.append("[model m" + i + "]\nlayers = " + LAYERS + "\nversion = 1\n\n");
		}
		for (int i = 0; i < KINDS; i++) {
			text.append("[kind k" + i + "]\nlayer-micros = " + (50 + 50 * i) + "\n\n");
		}
		for (int i = 0; i < engines; i++) {
			appendEngine(text, i);
		}
		for (int i = 0; i < engines * ACCOUNTS_PER_ENGINE; i++) {
			text.append("[account a" + i + "]\ncredential-sha256 = " + Sha256.ofText("key-" + i) + "\nmax-concurrent = "
					+ ((i == changedAccount) ? 200 : 100) + "\n\n");
		}
		return text.toString();
	}

	private static void appendEngine(StringBuilder text, int index) {
		int stage = index / MODELS % STAGES;
		int width = LAYERS / STAGES;
		text.append("[engine e" + index + "]\naddress = 10.0." + index / 250 + "." + (index % 250 + 1)
				+ ":8080\ndata-centre = d" + index % KINDS + "\nkind = k" + index % KINDS + "\nmodel = m"
				+ index % MODELS + "\nlayers = " + stage * width + "-" + (stage + 1) * width
				+ "\nfencing = checked\n\n");
	}

}
