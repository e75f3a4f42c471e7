package org.comfreyslip.daemon.tls;

import java.io.IOException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.X509Certificate;
import java.util.Optional;

import javax.net.ssl.KeyManager;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManager;
import javax.net.ssl.TrustManagerFactory;

import io.jooby.ServerOptions;
import io.jooby.SslOptions;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.settings.TlsSection;

/**
 * Creates the options of a listener, with TLS if the settings have a section for it.
 */
public final class ListenerTls {

	private ListenerTls() {
	}

	/**
	 * Creates the options of a listener. Without a section they are for plain HTTP.
	 * @param listen where to listen, as ip:port
	 * @param section the section {@code [tls]}, or empty
	 * @param clientCertificates whether clients may present a certificate, which then has
	 * to be issued by one of the section's authorities
	 * @return the options, with address, port and TLS set
	 * @throws CodedException with {@link ErrorCode#INVALID_SETTINGS} if a file cannot be
	 * read
	 */
	public static ServerOptions options(String listen, Optional<TlsSection> section, boolean clientCertificates) {
		int colon = listen.lastIndexOf(':');
		int port = Integer.parseInt(listen.substring(colon + 1));
		ServerOptions options = section.map((tls) -> secureOptions(tls, port, clientCertificates))
			.orElseGet(() -> new ServerOptions().setPort(port));
		options.setHost(listen.substring(0, colon));
		return options;
	}

	private static ServerOptions secureOptions(TlsSection section, int port, boolean clientCertificates) {
		SslOptions ssl = new SslOptions().setProtocol(SslOptions.TLS_V1_3, SslOptions.TLS_V1_2)
			.setClientAuth((clientCertificates) ? SslOptions.ClientAuth.REQUESTED : SslOptions.ClientAuth.NONE);
		return new SecureOptions(createContext(section)).setSecurePort(port)
			.setHttpsOnly(true)
			.setHttp2(false)
			.setSsl(ssl);
	}

	private static SSLContext createContext(TlsSection section) {
		try {
			SSLContext context = SSLContext.getInstance("TLS");
			context.init(new KeyManager[] { new ReloadingKeyManager(new KeyFiles(section)) },
					trustManagers(Path.of(section.authorities())), null);
			return context;
		}
		catch (IOException | GeneralSecurityException ex) {
			throw new CodedException(ErrorCode.INVALID_SETTINGS, "section [tls]: " + ex, ex);
		}
	}

	private static TrustManager[] trustManagers(Path authorities) throws IOException, GeneralSecurityException {
		KeyStore store = KeyStore.getInstance("PKCS12");
		store.load(null, null);
		int number = 0;
		for (X509Certificate certificate : PemFiles.certificates(authorities)) {
			store.setCertificateEntry("authority-" + number++, certificate);
		}
		TrustManagerFactory factory = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
		factory.init(store);
		return factory.getTrustManagers();
	}

	/**
	 * Options with a given TLS context. The context that Jooby creates reads the files
	 * only once.
	 */
	private static final class SecureOptions extends ServerOptions {

		private final SSLContext context;

		SecureOptions(SSLContext context) {
			this.context = context;
		}

		@Override
		public SSLContext getSSLContext(ClassLoader loader) {
			return this.context;
		}

	}

}
