package org.comfreyslip.operator;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;

import org.comfreyslip.clients.log.LogClient;
import org.comfreyslip.clients.log.LogPage;
import org.comfreyslip.clients.log.LogRecord;
import org.comfreyslip.clients.record.ConfigRecordCodec;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.config.ConfigBootstrap;
import org.comfreyslip.coordination.config.ConfigRecord;
import org.comfreyslip.coordination.config.ConfigRecord.Checkpoint;
import org.comfreyslip.coordination.config.ConfigSnapshot;
import org.comfreyslip.coordination.config.ConfigVerdict;
import org.comfreyslip.coordination.config.LoggedConfigRecord;

/**
 * Reads the configuration stream into a {@link ConfigHistory} and appends to it.
 */
final class ConfigHistoryReader {

	private static final String STREAM = "config";

	/** Records of one read; each can contain a text of up to 4 MB. */
	private static final int PAGE_RECORDS = 16;

	private final LogClient log;

	ConfigHistoryReader(LogClient log) {
		this.log = log;
	}

	/**
	 * Reads the whole stream.
	 * @param keptNumber the version whose text is kept, or a negative number
	 * @return the history
	 * @throws CodedException with code {@code LOG_UNAVAILABLE}, also if the log no longer
	 * holds enough records to determine the version in force
	 */
	ConfigHistory read(long keptNumber) {
		ConfigHistory history = new ConfigHistory(start(), keptNumber);
		readOn(history, (verdict) -> {
		});
		return history;
	}

	/**
	 * Applies the records that were appended since the last read.
	 * @param history the history to extend
	 * @param verdicts takes the verdict on each record
	 */
	void readOn(ConfigHistory history, Consumer<ConfigVerdict> verdicts) {
		while (true) {
			LogPage page = page(history.nextOffset());
			if (page.head() > history.nextOffset()) {
				throw new CodedException(ErrorCode.LOG_UNAVAILABLE,
						"the log dropped records while they were read; run the command again");
			}
			if (page.records().isEmpty()) {
				return;
			}
			page.records().forEach((entry) -> verdicts.accept(history.apply(decode(entry))));
		}
	}

	/**
	 * Appends a record.
	 * @param entry the record
	 * @throws CodedException as {@link LogClient#append} describes
	 */
	void append(ConfigRecord entry) {
		await(this.log.append(STREAM, ConfigRecordCodec.encode(entry)));
	}

	private ConfigSnapshot start() {
		ConfigBootstrap bootstrap = new ConfigBootstrap(ConfigSnapshot.INITIAL, Set.of());
		while (true) {
			LogPage page = page(bootstrap.nextOffset());
			if (ConfigSnapshot.INITIAL.canCatchUpFrom(page.head())) {
				return ConfigSnapshot.INITIAL;
			}
			for (LogRecord entry : page.records()) {
				LoggedConfigRecord logged = decode(entry);
				if (isAdopted(bootstrap.onLogRead(page.head(), page.tail(), List.of(logged)))) {
					return ((Checkpoint) logged.record().orElseThrow()).snapshot();
				}
			}
			if (page.records().isEmpty()) {
				throw new CodedException(ErrorCode.LOG_UNAVAILABLE,
						"the log dropped its oldest records and holds no usable checkpoint; "
								+ "ask the daemons with 'status'");
			}
		}
	}

	private static boolean isAdopted(List<ConfigVerdict> verdicts) {
		return verdicts.stream().anyMatch((verdict) -> verdict instanceof ConfigVerdict.CheckpointAdopted);
	}

	private LogPage page(long from) {
		return await(this.log.read(STREAM, from, PAGE_RECORDS, 0));
	}

	private static LoggedConfigRecord decode(LogRecord entry) {
		return new LoggedConfigRecord(entry.offset(), ConfigRecordCodec.decode(entry.data()));
	}

	private static <T> T await(CompletableFuture<T> result) {
		try {
			return result.join();
		}
		catch (CompletionException ex) {
			if (ex.getCause() instanceof CodedException coded) {
				throw coded;
			}
			throw ex;
		}
	}

}
