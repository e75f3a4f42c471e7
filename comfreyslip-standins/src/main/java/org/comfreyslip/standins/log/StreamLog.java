package org.comfreyslip.standins.log;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

import org.comfreyslip.clients.log.LogPage;
import org.comfreyslip.clients.log.LogRecord;

/**
 * Records of one stream. Not thread-safe.
 */
final class StreamLog {

	private final int retentionCount;

	private final long retentionNanos;

	private final TreeMap<Long, Entry> entries = new TreeMap<>();

	private long tail;

	// A count or time of 0 sets no bound.
	StreamLog(int retentionCount, long retentionNanos) {
		this.retentionCount = retentionCount;
		this.retentionNanos = retentionNanos;
	}

	long append(byte[] data, long nowNanos) {
		expire(nowNanos);
		this.entries.put(this.tail, new Entry(new LogRecord(this.tail, data), nowNanos));
		if (this.retentionCount > 0 && this.entries.size() > this.retentionCount) {
			this.entries.pollFirstEntry();
		}
		return this.tail++;
	}

	LogPage read(long from, int max, long nowNanos) {
		expire(nowNanos);
		List<LogRecord> records = new ArrayList<>();
		for (Entry entry : this.entries.tailMap(from).values()) {
			if (records.size() == max) {
				break;
			}
			records.add(entry.record());
		}
		return new LogPage(this.tail - this.entries.size(), this.tail, records);
	}

	boolean isReadable(long from, long nowNanos) {
		expire(nowNanos);
		return from < this.tail && !this.entries.isEmpty();
	}

	private void expire(long nowNanos) {
		while (this.retentionNanos > 0 && !this.entries.isEmpty()
				&& nowNanos - this.entries.firstEntry().getValue().nanos() >= this.retentionNanos) {
			this.entries.pollFirstEntry();
		}
	}

	private record Entry(LogRecord record, long nanos) {
	}

}
