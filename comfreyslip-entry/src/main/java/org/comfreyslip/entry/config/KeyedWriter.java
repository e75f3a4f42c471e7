package org.comfreyslip.entry.config;

import java.util.function.Consumer;

/**
 * Write access to one keyed topic of the store.
 */
public interface KeyedWriter {

	/**
	 * Writes the newest record of a key.
	 * @param key the key, at most 255 bytes in UTF-8
	 * @param value the value; empty to remove the key
	 * @param done called once with whether the store acknowledged the write; a write that
	 * it did not acknowledge may still be carried out
	 */
	void write(String key, byte[] value, Consumer<Boolean> done);

}
