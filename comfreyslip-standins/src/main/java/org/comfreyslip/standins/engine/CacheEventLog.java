package org.comfreyslip.standins.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.clients.engine.CacheEvent;
import org.comfreyslip.clients.engine.CacheEventPage;

/**
 * Events of the prefix cache, offered late and with gaps. Not thread-safe.
 */
final class CacheEventLog {

	private static final int KEPT_EVENTS = 10_000;

	private static final int MAX_PAGE = 1_000;

	private final long lagNanos;

	private final int gap;

	private final ArrayDeque<Entry> entries = new ArrayDeque<>();

	private long nextNumber;

	// Each gap-th event is lost; 0 loses none.
	CacheEventLog(long lagMillis, int gap) {
		this.lagNanos = TimeUnit.MILLISECONDS.toNanos(lagMillis);
		this.gap = gap;
	}

	void add(boolean stored, long hash, int tokens, long nowNanos) {
		CacheEvent event = new CacheEvent(this.nextNumber++, stored, hash, tokens);
		if (this.gap > 0 && this.nextNumber % this.gap == 0) {
			return;
		}
		this.entries.addLast(new Entry(event, nowNanos));
		if (this.entries.size() > KEPT_EVENTS) {
			this.entries.removeFirst();
		}
	}

	CacheEventPage read(long from, long nowNanos) {
		List<CacheEvent> page = new ArrayList<>();
		long next = from;
		for (Entry entry : this.entries) {
			if (nowNanos - entry.nanos() < this.lagNanos || page.size() == MAX_PAGE) {
				break;
			}
			if (entry.event().number() >= from) {
				page.add(entry.event());
				next = entry.event().number() + 1;
			}
		}
		return new CacheEventPage(next, page);
	}

	private record Entry(CacheEvent event, long nanos) {
	}

}
