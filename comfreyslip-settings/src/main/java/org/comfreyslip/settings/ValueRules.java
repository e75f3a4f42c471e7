package org.comfreyslip.settings;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.List;
import java.util.function.Predicate;
import java.util.regex.Pattern;

import org.comfreyslip.routing.topology.CallPattern;

/**
 * Creates the value rules of the schemas, and splits and converts values that passed
 * them.
 */
final class ValueRules {

	/**
	 * Pattern of a name. It is this narrow because names become parts of paths, labels of
	 * metrics and words of section headers.
	 */
	static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

	static final String NAME_ALLOWED = "a name of 1 to 63 letters, digits, '.', '_' or '-' (ASCII), starting with a "
			+ "letter or digit";

	private static final Pattern COMMA = Pattern.compile(",");

	private static final Pattern DIGITS = Pattern.compile("[0-9]{1,9}");

	private static final Pattern NUMBER_WITH_UNIT = Pattern.compile("[0-9]+ ?[A-Za-z%/]+");

	private static final Pattern IPV4 = Pattern.compile("((25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])(\\.(?!$)|$)){4}");

	private static final Pattern IPV6_CHARACTERS = Pattern.compile("[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");

	private static final Pattern LAYERS = Pattern.compile("([0-9]{1,6})-([0-9]{1,6})");

	private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");

	private static final Pattern PATH = Pattern.compile("(/[A-Za-z0-9._~%!$&'()+;=:@{}*-]*)+");

	private static final Pattern METHOD = Pattern.compile("GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS");

	private static final int MAX_PORT = 65_535;

	private ValueRules() {
	}

	static ValueRule name() {
		return new ValueRule(NAME.asMatchPredicate(), NAME_ALLOWED, "choose a shorter name without blanks");
	}

	static ValueRule names(String itemPlural) {
		return new ValueRule((value) -> splitAtCommas(value).stream().allMatch(NAME.asMatchPredicate()),
				"names of " + itemPlural + ", separated by commas", "separate the names by commas");
	}

	static ValueRule integer(int min, int max, String unit) {
		return new ValueRule((value) -> isBetween(value, min, max),
				"a whole number of " + unit + " from " + min + " to " + max + ", without a unit",
				"write the number alone; the unit is always " + unit);
	}

	static ValueRule oneOf(String... words) {
		List<String> allowed = List.of(words);
		return new ValueRule(allowed::contains, ((words.length > 1) ? "one of " : "") + String.join(", ", allowed),
				"use an allowed value");
	}

	static ValueRule address() {
		return address(1, "an IP address and port, such as 10.0.0.7:8080 or [fd00::7]:8080",
				"write the address in digits; host names are not resolved");
	}

	static ValueRule listenAddress() {
		return address(0, "an IP address and port, such as 10.0.0.7:8080; port 0 picks a free port",
				"write the address in digits; host names are not resolved");
	}

	private static ValueRule address(int minPort, String allowed, String remedy) {
		return new ValueRule((value) -> isAddress(value, minPort), allowed, remedy);
	}

	static ValueRule addresses() {
		Predicate<String> each = (value) -> isAddress(value, 1);
		return new ValueRule((value) -> splitAtCommas(value).stream().allMatch(each),
				"IP addresses with ports, separated by commas",
				"write the addresses in digits; host names are not resolved");
	}

	static ValueRule layerRange() {
		return new ValueRule(ValueRules::isLayerRange, "first-end, such as 0-32, with first below end (end exclusive)",
				"write the first layer, '-' and the layer after the last one");
	}

	static ValueRule digests() {
		return new ValueRule(
				(value) -> !splitAtCommas(value).isEmpty()
						&& splitAtCommas(value).stream().allMatch(DIGEST.asMatchPredicate()),
				"SHA-256 digests of 64 lower-case hex digits, separated by commas",
				"create the digest with 'comfreyslip hash-credential'; never write the key itself");
	}

	static ValueRule callPatterns() {
		return new ValueRule((value) -> splitAtCommas(value).stream().allMatch(ValueRules::isCallPattern),
				"METHOD /path, separated by commas, where * stands for one whole segment",
				"start each pattern with an HTTP method in upper case, such as POST /stamps/*");
	}

	static ValueRule errorStatuses() {
		return new ValueRule((value) -> splitAtCommas(value).stream().allMatch((each) -> isBetween(each, 400, 599)),
				"HTTP statuses from 400 to 599, separated by commas", "write the numbers alone, such as 429, 503");
	}

	static ValueRule lookupPath() {
		return new ValueRule((value) -> PATH.matcher(value).matches() && value.split("\\{key}", -1).length == 2,
				"a path that starts with / and contains {key} once", "write it like /stamps/by-key/{key}");
	}

	static ValueRule filePath() {
		return new ValueRule((value) -> !value.isEmpty() && value.chars().noneMatch(Character::isISOControl),
				"the path of a PEM file", "write the path of an existing file");
	}

	static String remedyFor(ValueRule rule, String value) {
		if (value.isEmpty()) {
			return "write a value after '=' or remove the line";
		}
		if (rule.remedy().startsWith("write the number") && NUMBER_WITH_UNIT.matcher(value).matches()) {
			return rule.remedy() + "; convert " + value;
		}
		return rule.remedy();
	}

	static List<String> splitAtCommas(String value) {
		return value.isBlank() ? List.of() : COMMA.splitAsStream(value).map(String::strip).toList();
	}

	static CallPattern toCallPattern(String text) {
		String[] words = text.split(" +", 2);
		return new CallPattern(words[0], words[1]);
	}

	private static boolean isCallPattern(String text) {
		String[] words = text.split(" +", 2);
		return words.length == 2 && METHOD.matcher(words[0]).matches() && isPatternPath(words[1]);
	}

	// A placeholder such as {id} matches no call and would leave the calls unprotected.
	private static boolean isPatternPath(String path) {
		return PATH.matcher(path).matches() && path.indexOf('{') < 0 && path.indexOf('}') < 0
				&& List.of(path.split("/", -1)).stream().allMatch((part) -> part.equals("*") || !part.contains("*"));
	}

	private static boolean isBetween(String value, int min, int max) {
		if (!DIGITS.matcher(value).matches()) {
			return false;
		}
		int number = Integer.parseInt(value);
		return number >= min && number <= max;
	}

	private static boolean isLayerRange(String value) {
		var matcher = LAYERS.matcher(value);
		return matcher.matches() && Integer.parseInt(matcher.group(1)) < Integer.parseInt(matcher.group(2));
	}

	private static boolean isAddress(String value, int minPort) {
		int colon = value.lastIndexOf(':');
		if (colon < 0 || !isBetween(value.substring(colon + 1), minPort, MAX_PORT)) {
			return false;
		}
		String host = value.substring(0, colon);
		if (host.startsWith("[") && host.endsWith("]")) {
			return isIpv6(host.substring(1, host.length() - 1));
		}
		return IPV4.matcher(host).matches();
	}

	private static boolean isIpv6(String host) {
		if (!IPV6_CHARACTERS.matcher(host).matches()) {
			return false;
		}
		try {
			// A bracketed literal is parsed and never looked up.
			InetAddress.getByName("[" + host + "]");
			return true;
		}
		catch (UnknownHostException ex) {
			return false;
		}
	}

}
