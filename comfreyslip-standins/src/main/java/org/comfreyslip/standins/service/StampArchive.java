package org.comfreyslip.standins.service;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Records of the service in memory. Does not deduplicate, so that a doubled call shows.
 */
final class StampArchive {

	private final List<StampRecord> records = new ArrayList<>();

	synchronized StampRecord add(String key, StampRequest request) {
		StampRecord stamp = new StampRecord(this.records.size(), key, request.certificate(), request.inspector());
		this.records.add(stamp);
		return stamp;
	}

	synchronized List<StampRecord> find(Predicate<StampRecord> filter) {
		return this.records.stream().filter(filter).toList();
	}

}
