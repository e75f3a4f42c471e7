package org.comfreyslip.entry.http;

import java.util.Map;

import io.netty.handler.codec.http.HttpResponse;
import org.comfreyslip.entry.model.StatusLinePattern;

/**
 * Finds status lines in response heads where none belongs.
 */
final class StatusLines {

	private StatusLines() {
	}

	/**
	 * Tells whether a head holds a status line besides its own. Such a head begins with a
	 * part of another response, so that its status is not that of its fields. In the name
	 * of a field, {@link HeadFraming} rejects a status line.
	 * @param head the response head
	 * @return whether its reason phrase or the value of a field holds one
	 */
	static boolean hasForeignStatusLine(HttpResponse head) {
		if (StatusLinePattern.isIn(head.status().reasonPhrase())) {
			return true;
		}
		for (Map.Entry<String, String> field : head.headers()) {
			if (StatusLinePattern.isIn(field.getValue())) {
				return true;
			}
		}
		return false;
	}

}
