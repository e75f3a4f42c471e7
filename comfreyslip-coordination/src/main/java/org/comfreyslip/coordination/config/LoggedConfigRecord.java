package org.comfreyslip.coordination.config;

import java.util.Optional;

/**
 * One offset of the log stream {@code config} with its decoded record.
 *
 * @param offset the log offset
 * @param record the record, empty if the bytes are not a record of this stream
 */
public record LoggedConfigRecord(long offset, Optional<ConfigRecord> record) {

	ConfigVerdict applyTo(ConfigFold fold) {
		if (this.record.isEmpty()) {
			return fold.skip(this.offset);
		}
		return fold.apply(this.offset, this.record.get());
	}

}
