package org.comfreyslip.settings;

import java.util.List;

/**
 * Checks the operators' configuration text: first each section by itself, then the
 * references, layer ranges, dependencies, credentials and links across sections.
 */
public final class OperatorTextChecker {

	private OperatorTextChecker() {
	}

	/**
	 * Returns all faults of a text, found in one pass.
	 * @param fileName the file name that faults report; the file is not read
	 * @param text the INI text
	 * @return the faults in the order of the checks, empty for a valid text
	 */
	public static List<SettingsFault> check(String fileName, String text) {
		FaultList faults = new FaultList(fileName);
		parseAndCheck(fileName, text, faults);
		return faults.toList();
	}

	static CheckedText parseAndCheck(String fileName, String text, FaultList faults) {
		CheckedText checked = CheckedText.check(IniDocument.parse(fileName, text), OperatorTextSchema.SECTIONS, faults);
		new ReferenceCheck(checked, faults).run();
		new LayerCheck(checked, faults).run();
		new DependencyCheck(checked, faults).run();
		new CredentialCheck(checked, faults).run();
		new LinkCheck(checked, faults).run();
		return checked;
	}

}
