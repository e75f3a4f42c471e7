package org.comfreyslip.settings;

import java.util.ArrayList;
import java.util.List;

import org.ini4j.spi.IniHandler;

/**
 * Collects the parser's events without merging sections or keys of the same name, as the
 * parser's own maps do.
 */
final class IniCollector implements IniHandler {

	private final List<IniSection> sections = new ArrayList<>();

	private String name = "";

	private List<IniEntry> entries = new ArrayList<>();

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
		this.name = sectionName.strip();
		this.entries = new ArrayList<>();
	}

	@Override
	public void endSection() {
		this.sections.add(new IniSection(this.name, List.copyOf(this.entries)));
	}

	@Override
	public void handleOption(String key, String value) {
		this.entries.add(new IniEntry(key.strip(), (value != null) ? value.strip() : ""));
	}

	@Override
	public void handleComment(String comment) {
		// Comments have no meaning for the settings.
	}

}
