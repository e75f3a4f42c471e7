package org.comfreyslip.coordination.config;

import java.util.Optional;

/**
 * Record read from the log stream {@code config}.
 *
 * @param offset the log offset
 * @param record the record, empty if the bytes are no record of this program
 */
public record LoggedConfigRecord(long offset, Optional<ConfigRecord> record) {

	ConfigVerdict applyTo(ConfigFold fold) {
		if (this.record.isEmpty()) {
			return fold.skip(this.offset);
		}
		return fold.apply(this.offset, this.record.get());
	}

}
