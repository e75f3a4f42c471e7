package org.comfreyslip.settings;

import java.util.List;
import java.util.Optional;

import org.comfreyslip.coordination.CodedException;

/**
 * A daemon's own settings.
 *
 * @param daemon the daemon's identity, addresses and shutdown times
 * @param platform addresses of the platform's services
 * @param tls files for TLS, or empty for plain TCP
 */
public record DaemonSettings(DaemonSection daemon, PlatformSection platform, Optional<TlsSection> tls) {

	/**
	 * Checks a text and returns all its faults.
	 * @param fileName the name for the faults
	 * @param text the INI text
	 * @return the faults, empty for a valid text
	 */
	public static List<SettingsFault> check(String fileName, String text) {
		FaultList faults = new FaultList(fileName);
		CheckedText.read(IniDocument.parse(fileName, text), DaemonSettingsSchema.SECTIONS, faults);
		return faults.toList();
	}

	/**
	 * Parses a text.
	 * @param fileName the name for the faults
	 * @param text the INI text
	 * @return the settings, with defaults for the keys that the text lacks
	 * @throws CodedException with code {@code INVALID_SETTINGS} that lists all faults
	 */
	public static DaemonSettings parse(String fileName, String text) {
		FaultList faults = new FaultList(fileName);
		CheckedText checked = CheckedText.read(IniDocument.parse(fileName, text), DaemonSettingsSchema.SECTIONS,
				faults);
		faults.throwIfAny();
		return new DaemonSettings(daemon(checked.sections(DaemonSettingsSchema.DAEMON).get(0)),
				platform(checked.sections(DaemonSettingsSchema.PLATFORM).get(0)),
				checked.sections(DaemonSettingsSchema.TLS).stream().findFirst().map(DaemonSettings::tls));
	}

	private static DaemonSection daemon(CheckedSection section) {
		return new DaemonSection(section.text("name"), section.text("data-centre"), section.text("region"),
				section.text("http-listen"), section.text("grpc-listen"), section.text("admin-listen"),
				section.list("peers"), section.number("balancer-lag-ms", DaemonSection.DEFAULT_BALANCER_LAG_MILLIS),
				section.number("drain-deadline-ms", DaemonSection.DEFAULT_DRAIN_DEADLINE_MILLIS));
	}

	private static PlatformSection platform(CheckedSection section) {
		return new PlatformSection(section.text("log"), section.text("host-list"), section.text("weight-store"),
				section.number("log-retention-ms", PlatformSection.DEFAULT_LOG_RETENTION_MILLIS));
	}

	private static TlsSection tls(CheckedSection section) {
		return new TlsSection(section.text("certificate"), section.text("key"), section.text("authorities"));
	}

}
