package org.comfreyslip.daemon.tls;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.X509Certificate;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import javax.net.ssl.X509TrustManager;

import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpHeader;
import org.comfreyslip.clients.JsonCodec;
import org.comfreyslip.daemon.InProcessDeployment;
import org.comfreyslip.daemon.LogCapture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * TLS of both listeners. Guards against a listener that serves plain HTTP in spite of the
 * settings, and against restarts or interrupted streams when certificates are renewed.
 */
class ListenerTlsTests {

	private static final int TIMEOUT_MILLIS = 20_000;

	@TempDir
	private Path directory;

	private InProcessDeployment deployment;

	@BeforeEach
	void start() throws Exception {
		install("first", "certificate", 1);
		install("first", "key", 1);
		Files.copy(fixture("first", "certificate"), this.directory.resolve("authorities.pem"));
		this.deployment = new InProcessDeployment("[tls]\ncertificate = " + this.directory.resolve("certificate.pem")
				+ "\nkey = " + this.directory.resolve("key.pem") + "\nauthorities = "
				+ this.directory.resolve("authorities.pem") + "\n");
		OkHttpClient client = client();
		InProcessDeployment.await("the daemon is ready", () -> status(client, "/ready") == 200);
	}

	@AfterEach
	void stop() {
		this.deployment.close();
	}

	@Test
	void bothListenersSpeakTls() throws Exception {
		assertThat(subject(this.deployment.callerAddress(), "/v1/models")).isEqualTo("CN=first.test");
		assertThat(subject(this.deployment.adminAddress(), "/health")).isEqualTo("CN=first.test");
	}

	@Test
	void plainHttpRequestsGetNoResponseAndTheirBytesAreNotLogged() {
		String credential = "Bearer " + InProcessDeployment.KEY;
		try (LogCapture log = new LogCapture()) {
			for (String address : List.of(this.deployment.callerAddress(), this.deployment.adminAddress())) {
				HttpCall call = new HttpCall(address, "GET", "/health",
						List.of(new HttpHeader("Authorization", credential)), null, TIMEOUT_MILLIS, TIMEOUT_MILLIS,
						HttpCall.get("", "").boundary());
				assertThatThrownBy(() -> this.deployment.http().send(call).join()).isNotNull();
			}
			InProcessDeployment.await("both are logged", () -> log.text().split("CS-1005", -1).length == 3);
			assertThat(log.text()).doesNotContain(InProcessDeployment.KEY,
					HexFormat.of().formatHex(InProcessDeployment.KEY.getBytes(StandardCharsets.US_ASCII)));
		}
	}

	@Test
	void renewedFilesAreUsedForNewConnectionsWhileOpenStreamsContinue() throws Exception {
		try (Response stream = client().newCall(completion()).execute()) {
			BufferedSource source = stream.body().source();
			assertThat(source.readUtf8Line()).startsWith("data: ");
			install("second", "certificate", 2);
			assertThat(subject(this.deployment.callerAddress(), "/v1/models")).as("the key does not match yet")
				.isEqualTo("CN=first.test");
			install("second", "key", 2);
			assertThat(subject(this.deployment.callerAddress(), "/v1/models")).isEqualTo("CN=second.test");
			assertThat(subject(this.deployment.adminAddress(), "/health")).isEqualTo("CN=second.test");
			assertThat(source.readString(StandardCharsets.UTF_8)).endsWith("data: [DONE]\n\n");
		}
	}

	@Test
	void invalidFilesLeaveThePreviousOnesInUse() throws Exception {
		Files.writeString(this.directory.resolve("key.pem"), "no key");
		assertThat(subject(this.deployment.callerAddress(), "/v1/models")).isEqualTo("CN=first.test");
	}

	private Request completion() {
		byte[] body = JsonCodec.write(
				Map.of("model", InProcessDeployment.MODEL, "prompt", "Which heat?", "max_tokens", 200, "stream", true));
		return new Request.Builder().url("https://" + this.deployment.callerAddress() + "/v1/completions")
			.header("Authorization", "Bearer " + InProcessDeployment.KEY)
			.post(RequestBody.create(body, MediaType.get("application/json")))
			.build();
	}

	private int status(OkHttpClient client, String path) {
		Request request = new Request.Builder().url("https://" + this.deployment.adminAddress() + path).build();
		try (Response response = client.newCall(request).execute()) {
			return response.code();
		}
		catch (IOException ex) {
			return -1;
		}
	}

	private static String subject(String address, String path) throws Exception {
		Request request = new Request.Builder().url("https://" + address + path).build();
		try (Response response = client().newCall(request).execute()) {
			X509Certificate shown = (X509Certificate) response.handshake().peerCertificates().get(0);
			return shown.getSubjectX500Principal().getName();
		}
	}

	// A new client opens a new connection.
	private static OkHttpClient client() throws GeneralSecurityException, IOException, URISyntaxException {
		KeyStore store = KeyStore.getInstance("PKCS12");
		store.load(null, null);
		for (String name : new String[] { "first", "second" }) {
			store.setCertificateEntry(name, PemFiles.certificates(fixture(name, "certificate"))[0]);
		}
		TrustManagerFactory factory = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
		factory.init(store);
		SSLContext context = SSLContext.getInstance("TLS");
		context.init(null, factory.getTrustManagers(), null);
		return new OkHttpClient.Builder()
			.sslSocketFactory(context.getSocketFactory(), (X509TrustManager) factory.getTrustManagers()[0])
			.build();
	}

	// Sets the modification time, because two writes may get the same time from the
	// clock.
	private void install(String name, String part, long seconds) throws IOException, URISyntaxException {
		Path target = this.directory.resolve(part + ".pem");
		Path next = this.directory.resolve(part + ".next");
		Files.copy(fixture(name, part), next, StandardCopyOption.REPLACE_EXISTING);
		Files.setLastModifiedTime(next, FileTime.fromMillis(seconds * 1_000));
		Files.move(next, target, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
	}

	private static Path fixture(String name, String part) throws URISyntaxException {
		return Path.of(ListenerTlsTests.class.getResource("/tls/" + name + "-" + part + ".pem").toURI());
	}

}
