package org.comfreyslip.settings;

import java.util.List;

/**
 * Checks an operators' text.
 */
public final class OperatorTextChecker {

	private OperatorTextChecker() {
	}

	/**
	 * Returns all faults of a text, found in one pass.
	 * @param fileName the name for the faults
	 * @param text the INI text
	 * @return the faults in the order of the checks, empty for a valid text
	 */
	public static List<SettingsFault> check(String fileName, String text) {
		FaultList faults = new FaultList(fileName);
		checked(fileName, text, faults);
		return faults.toList();
	}

	static CheckedText checked(String fileName, String text, FaultList faults) {
		CheckedText checked = CheckedText.read(IniDocument.parse(fileName, text), OperatorTextSchema.SECTIONS, faults);
		new ReferenceCheck(checked, faults).run();
		new LayerCheck(checked, faults).run();
		new DependencyCheck(checked, faults).run();
		new CredentialCheck(checked, faults).run();
		new LinkCheck(checked, faults).run();
		return checked;
	}

}
