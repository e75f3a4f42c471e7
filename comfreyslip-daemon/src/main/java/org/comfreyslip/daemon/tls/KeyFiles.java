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
 * Reads the certificate and its private key from files. Reads them again when the
 * modification time of either file has changed. If they cannot be read or do not match,
 * the previous certificate and key stay in use.
 */
final class KeyFiles {

	private final Path certificateFile;

	private final Path keyFile;

	private ModificationTimes readTimes;

	private X509ExtendedKeyManager current;

	KeyFiles(TlsSection section) throws IOException, GeneralSecurityException {
		this.certificateFile = Path.of(section.certificate());
		this.keyFile = Path.of(section.key());
		this.readTimes = modificationTimes();
		this.current = read();
	}

	/**
	 * Returns the key manager of the files as they are now.
	 * @return the key manager, of the previous files if the present ones are invalid
	 */
	synchronized X509ExtendedKeyManager current() {
		try {
			ModificationTimes present = modificationTimes();
			if (!present.equals(this.readTimes)) {
				// Set before the files are read, so that invalid files are reported once.
				this.readTimes = present;
				this.current = read();
			}
		}
		catch (IOException | GeneralSecurityException ex) {
			DaemonEvent.KEY_FILES_INVALID.log(ex.getMessage());
		}
		return this.current;
	}

	private ModificationTimes modificationTimes() throws IOException {
		return new ModificationTimes(Files.getLastModifiedTime(this.certificateFile),
				Files.getLastModifiedTime(this.keyFile));
	}

	private X509ExtendedKeyManager read() throws IOException, GeneralSecurityException {
		X509Certificate[] chain = PemFiles.certificates(this.certificateFile);
		PrivateKey privateKey = PemFiles.privateKey(this.keyFile, chain[0].getPublicKey().getAlgorithm());
		requireMatchingPair(privateKey, chain[0]);
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

	// The two files are replaced one after the other, so they may not match for a moment.
	// Checks the pair by signing the certificate with the key.
	private void requireMatchingPair(PrivateKey privateKey, X509Certificate leaf) throws GeneralSecurityException {
		String algorithm = leaf.getPublicKey().getAlgorithm();
		Signature signature = Signature.getInstance(signatureName(algorithm));
		byte[] data = leaf.getEncoded();
		signature.initSign(privateKey);
		signature.update(data);
		byte[] signed = signature.sign();
		signature.initVerify(leaf.getPublicKey());
		signature.update(data);
		if (!signature.verify(signed)) {
			throw new GeneralSecurityException(this.keyFile + " is not the key of " + this.certificateFile);
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
	 * Modification times of both files.
	 *
	 * @param certificate when the certificate file was modified
	 * @param key when the key file was modified
	 */
	private record ModificationTimes(FileTime certificate, FileTime key) {
	}

}
