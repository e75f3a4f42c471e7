package org.comfreyslip.daemon.tls;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.PrivateKey;
import java.security.Signature;
import java.security.cert.X509Certificate;

import javax.net.ssl.KeyManager;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.X509ExtendedKeyManager;

import org.comfreyslip.daemon.DaemonEvent;
import org.comfreyslip.settings.TlsSection;

/**
 * The certificate and key in use. The files are read again when their time of change
 * differs. If they cannot be read or do not fit together, the earlier ones stay in use.
 */
final class KeyFiles {

	private final Path certificate;

	private final Path key;

	private Version version;

	private X509ExtendedKeyManager current;

	KeyFiles(TlsSection section) throws IOException, GeneralSecurityException {
		this.certificate = Path.of(section.certificate());
		this.key = Path.of(section.key());
		this.version = version();
		this.current = read();
	}

	/**
	 * Returns the key manager of the files as they are now.
	 * @return the key manager
	 */
	synchronized X509ExtendedKeyManager current() {
		try {
			Version found = version();
			if (!found.equals(this.version)) {
				// Set before the files are read, so that faulty files are reported once.
				this.version = found;
				this.current = read();
			}
		}
		catch (IOException | GeneralSecurityException ex) {
			DaemonEvent.KEY_FILES_INVALID.log(ex.getMessage());
		}
		return this.current;
	}

	private Version version() throws IOException {
		return new Version(Files.getLastModifiedTime(this.certificate), Files.getLastModifiedTime(this.key));
	}

	private X509ExtendedKeyManager read() throws IOException, GeneralSecurityException {
		X509Certificate[] chain = PemFiles.certificates(this.certificate);
		PrivateKey privateKey = PemFiles.privateKey(this.key, chain[0].getPublicKey().getAlgorithm());
		requirePair(privateKey, chain[0]);
		KeyStore store = KeyStore.getInstance("PKCS12");
		store.load(null, null);
		store.setKeyEntry("daemon", privateKey, new char[0], chain);
		KeyManagerFactory factory = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
		factory.init(store, new char[0]);
		for (KeyManager manager : factory.getKeyManagers()) {
			if (manager instanceof X509ExtendedKeyManager extended) {
				return extended;
			}
		}
		throw new GeneralSecurityException("the Java runtime has no X.509 key manager");
	}

	// The two files are replaced one after the other, so they may not fit for a moment.
	private void requirePair(PrivateKey privateKey, X509Certificate first) throws GeneralSecurityException {
		String algorithm = first.getPublicKey().getAlgorithm();
		Signature signature = Signature.getInstance(signatureName(algorithm));
		byte[] probe = first.getEncoded();
		signature.initSign(privateKey);
		signature.update(probe);
		byte[] signed = signature.sign();
		signature.initVerify(first.getPublicKey());
		signature.update(probe);
		if (!signature.verify(signed)) {
			throw new GeneralSecurityException(this.key + " is not the key of " + this.certificate);
		}
	}

	private static String signatureName(String keyAlgorithm) {
		return switch (keyAlgorithm) {
			case "RSA" -> "SHA256withRSA";
			case "EC" -> "SHA256withECDSA";
			default -> keyAlgorithm;
		};
	}

	/**
	 * Times of change of both files.
	 *
	 * @param certificate the certificate's
	 * @param key the key's
	 */
	private record Version(FileTime certificate, FileTime key) {
	}

}
