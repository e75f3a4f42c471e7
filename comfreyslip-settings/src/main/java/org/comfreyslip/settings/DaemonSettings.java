package org.comfreyslip.settings;

import java.util.List;
import java.util.Optional;

import org.comfreyslip.coordination.CodedException;

/**
 * A daemon's own settings, as opposed to the operators' configuration, which all daemons
 * share.
 *
 * @param daemon the daemon's name, location, listen addresses and shutdown times
 * @param platform addresses of the platform's services and the retention of its log
 * @param tls paths of the PEM files for TLS, or empty for plain TCP
 */
public record DaemonSettings(DaemonSection daemon, PlatformSection platform, Optional<TlsSection> tls) {

	/**
	 * Checks a text and returns all its faults.
	 * @param fileName the file name that faults report; the file is not read
	 * @param text the INI text
	 * @return the faults, empty for a valid text
	 */
	public static List<SettingsFault> check(String fileName, String text) {
		FaultList faults = new FaultList(fileName);
		CheckedText.check(IniDocument.parse(fileName, text), DaemonSettingsSchema.SECTIONS, faults);
		return faults.toList();
	}

	/**
	 * Checks a text and converts it to settings.
	 * @param fileName the file name that faults report; the file is not read
	 * @param text the INI text
	 * @return the settings, with defaults for the keys that the text lacks
	 * @throws CodedException with code {@code INVALID_SETTINGS} and a message that lists
	 * all faults, one per line
	 */
	public static DaemonSettings parse(String fileName, String text) {
		FaultList faults = new FaultList(fileName);
		CheckedText checked = CheckedText.check(IniDocument.parse(fileName, text), DaemonSettingsSchema.SECTIONS,
				faults);
		faults.throwIfAny();
		return new DaemonSettings(toDaemonSection(checked.sections(DaemonSettingsSchema.DAEMON).get(0)),
				toPlatformSection(checked.sections(DaemonSettingsSchema.PLATFORM).get(0)),
				checked.sections(DaemonSettingsSchema.TLS).stream().findFirst().map(DaemonSettings::toTlsSection));
	}

	private static DaemonSection toDaemonSection(CheckedSection section) {
		return new DaemonSection(section.requireText("name"), section.requireText("data-centre"),
				section.requireText("region"), section.requireText("http-listen"), section.requireText("grpc-listen"),
				section.requireText("admin-listen"), section.list("peers"),
				section.longOrDefault("balancer-lag-ms", DaemonSection.DEFAULT_BALANCER_LAG_MILLIS),
				section.longOrDefault("drain-deadline-ms", DaemonSection.DEFAULT_DRAIN_DEADLINE_MILLIS));
	}

	private static PlatformSection toPlatformSection(CheckedSection section) {
		return new PlatformSection(section.requireText("log"), section.requireText("host-list"),
				section.requireText("weight-store"),
				section.longOrDefault("log-retention-ms", PlatformSection.DEFAULT_LOG_RETENTION_MILLIS));
	}

	private static TlsSection toTlsSection(CheckedSection section) {
		return new TlsSection(section.requireText("certificate"), section.requireText("key"),
				section.requireText("authorities"));
	}

}
