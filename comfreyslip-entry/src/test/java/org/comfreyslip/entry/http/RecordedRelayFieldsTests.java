package org.comfreyslip.entry.http;

import java.util.List;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Reads the header fields of requests between daemons as release fb4b864 wrote them.
 * Guards against requests that are lost while hosts are replaced one after the other.
 */
class RecordedRelayFieldsTests {

	private static final String REQUEST_FIELD = "13;true;engine-1,engine-2";

	private static final String DECLINED_FIELD = "DECLINED;a1b2";

	@Test
	void theFieldOfARequestIsTheSameInBothReleases() {
		RelayEnvelope envelope = new RelayEnvelope(13, true, List.of("engine-1", "engine-2"));
		assertThat(RelayEnvelope.decode(REQUEST_FIELD)).contains(envelope);
		assertThat(envelope.encode()).isEqualTo(REQUEST_FIELD);
	}

	@Test
	void theFieldOfAResponseIsTheSameInBothReleases() {
		HttpHeaders headers = new DefaultHttpHeaders().set("Comfreyslip-Relay", DECLINED_FIELD);
		RelayReply reply = new RelayReply(RelayReply.Kind.DECLINED, "a1b2");
		assertThat(RelayReply.readFrom(headers)).contains(reply);
		HttpHeaders written = new DefaultHttpHeaders();
		reply.writeTo(written);
		assertThat(written.get("Comfreyslip-Relay")).isEqualTo(DECLINED_FIELD);
	}

}
