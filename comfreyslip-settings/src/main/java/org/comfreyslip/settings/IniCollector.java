package org.comfreyslip.settings;

import java.util.ArrayList;
import java.util.List;

import org.ini4j.spi.IniHandler;

/**
 * Collects the sections and lines that the INI parser reports. Unlike the maps of the
 * parser's library, it does not merge sections or keys of the same name.
 */
final class IniCollector implements IniHandler {

	private final List<IniSection> sections = new ArrayList<>();

	private String currentName = "";

	private List<IniEntry> currentEntries = new ArrayList<>();

	List<IniSection> sections() {
		return List.copyOf(this.sections);
	}

	@Override
	public void startIni() {
		this.sections.clear();
	}

	@Override
	public void endIni() {
		// All sections are complete at this point.
	}

	@Override
	public void startSection(String sectionName) {
		this.currentName = sectionName.strip();
		this.currentEntries = new ArrayList<>();
	}

	@Override
	public void endSection() {
		this.sections.add(new IniSection(this.currentName, List.copyOf(this.currentEntries)));
	}

	@Override
	public void handleOption(String key, String value) {
		this.currentEntries.add(new IniEntry(key.strip(), (value != null) ? value.strip() : ""));
	}

	@Override
	public void handleComment(String comment) {
		// Comments have no meaning for the settings.
	}

}
