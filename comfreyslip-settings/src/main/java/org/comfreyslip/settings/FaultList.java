package org.comfreyslip.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * Collects the faults of one text, up to a limit, and counts those beyond it.
 */
final class FaultList {

	/**
	 * Largest number of faults that are kept. A text of a million faulty lines would
	 * otherwise need more memory than the text itself.
	 */
	static final int MAX_FAULTS = 1_000;

	private final String file;

	private final List<SettingsFault> faults = new ArrayList<>();

	private long droppedCount;

	FaultList(String file) {
		this.file = file;
	}

	void add(String section, String key, String found, String allowed, String remedy) {
		if (this.faults.size() >= MAX_FAULTS) {
			this.droppedCount++;
			return;
		}
		this.faults.add(new SettingsFault(this.file, section, key, found, allowed, remedy));
	}

	void add(SettingsFault fault) {
		if (this.faults.size() >= MAX_FAULTS) {
			this.droppedCount++;
			return;
		}
		this.faults.add(fault);
	}

	List<SettingsFault> toList() {
		if (this.droppedCount == 0) {
			return List.copyOf(this.faults);
		}
		List<SettingsFault> all = new ArrayList<>(this.faults);
		all.add(new SettingsFault(this.file, "", "", this.droppedCount + " more faults",
				"at most " + MAX_FAULTS + " faults are listed", "correct the listed faults and check again"));
		return List.copyOf(all);
	}

	void throwIfAny() {
		if (this.faults.isEmpty()) {
			return;
		}
		throw new CodedException(ErrorCode.INVALID_SETTINGS,
				toList().stream().map(SettingsFault::toString).collect(Collectors.joining("\n")));
	}

}
