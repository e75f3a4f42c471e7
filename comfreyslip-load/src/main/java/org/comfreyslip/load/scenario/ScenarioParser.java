package org.comfreyslip.load.scenario;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.comfreyslip.settings.IniDocument;
import org.comfreyslip.settings.IniSection;

/**
 * Reads scenario files.
 */
public final class ScenarioParser {

	private static final int DAY_SECONDS = 86_400;

	private static final int MAX_MICROS = 10_000_000;

	private static final int MAX_WORDS = 16_384;

	private static final int MAX_HEAP_MEGABYTES = 1_024;

	private static final String FAULT_PREFIX = "fault ";

	private final String file;

	private final Map<String, Map<String, String>> sections = new LinkedHashMap<>();

	private ScenarioParser(String file) {
		this.file = file;
	}

	/**
	 * Reads a scenario.
	 * @param file the file's name for messages
	 * @param text the content
	 * @param overrides values that replace those of the file, by {@code section.key}
	 * @return the scenario
	 * @throws ScenarioException if the text is not a valid scenario
	 */
	public static Scenario parse(String file, String text, Map<String, String> overrides) {
		ScenarioParser parser = new ScenarioParser(file);
		parser.read(text);
		overrides.forEach(parser::override);
		return parser.scenario();
	}

	private void read(String text) {
		IniDocument document = IniDocument.parse(this.file, text);
		if (!document.faults().isEmpty()) {
			throw new ScenarioException(document.faults().get(0).toString());
		}
		for (IniSection section : document.sections()) {
			Map<String, String> values = this.sections.computeIfAbsent(section.name(), (name) -> new LinkedHashMap<>());
			section.entries().forEach((entry) -> values.put(entry.key(), entry.value()));
		}
	}

	private void override(String place, String value) {
		int dot = place.indexOf('.');
		if (dot < 1) {
			throw new ScenarioException("--set " + place + ": allowed: section.key=value");
		}
		this.sections.computeIfAbsent(place.substring(0, dot), (name) -> new LinkedHashMap<>())
			.put(place.substring(dot + 1), value);
	}

	private Scenario scenario() {
		requireKnownSections();
		ScenarioSection load = section("load");
		String name = load.text("name", "unnamed");
		long seed = load.integer("seed", 1, 0, Integer.MAX_VALUE);
		int duration = load.integer("duration-seconds", 15, 1, DAY_SECONDS);
		int warmUp = load.integer("warm-up-seconds", 0, 0, duration - 1);
		double rate = load.number("requests-per-second", 0);
		double percent = load.number("bound-percent", 0);
		int attempts = load.integer("attempts", 3, 1, 100);
		int pause = load.integer("retry-pause-millis", 50, 0, 60_000);
		int accounts = load.integer("accounts", 3, 1, 1_000);
		IntRange words = load.range("prompt-words", new IntRange(10, 40), MAX_WORDS);
		IntRange tokens = load.range("max-tokens", new IntRange(16, 64), MAX_WORDS);
		if ((rate > 0) == (percent > 0)) {
			throw load.fault("requests-per-second", Double.toString(rate),
					"a rate above 0 either here or as bound-percent");
		}
		load.requireAllUsed();
		return new Scenario(name, seed, duration, warmUp, rate, percent, mix(), words, tokens, attempts, pause,
				accounts, topology(), target(), faults());
	}

	private void requireKnownSections() {
		for (String name : this.sections.keySet()) {
			if (!List.of("load", "mix", "topology", "target").contains(name) && !name.startsWith(FAULT_PREFIX)) {
				throw new ScenarioException(this.file + ": unknown section [" + name
						+ "]; allowed: load, mix, topology, target and fault NAME");
			}
		}
	}

	private Map<RequestKind, Integer> mix() {
		ScenarioSection section = section("mix");
		Map<RequestKind, Integer> mix = new EnumMap<>(RequestKind.class);
		for (RequestKind kind : RequestKind.values()) {
			mix.put(kind, section.integer(kind.key(), 0, 0, 1_000_000));
		}
		section.requireAllUsed();
		if (mix.values().stream().allMatch((weight) -> weight == 0)) {
			mix.put(RequestKind.STREAMED, 1);
		}
		return mix;
	}

	private TopologyPlan topology() {
		ScenarioSection section = section("topology");
		TopologyPlan plan = new TopologyPlan(section.integer("stages", 3, 1, 16),
				section.integer("layers-per-stage", 4, 1, 1_000), kinds(section),
				section.integer("max-batch", 64, 1, 10_000), section.integer("item-micros", 20, 0, MAX_MICROS),
				section.integer("daemons", 1, 1, 16), section.integer("endpoints", 2, 1, 16),
				section.integer("service-millis", 5, 0, 60_000),
				section.integer("daemon-heap-mb", 160, 32, MAX_HEAP_MEGABYTES),
				section.integer("standin-heap-mb", 64, 16, MAX_HEAP_MEGABYTES));
		section.requireAllUsed();
		if (plan.processes() > TopologyPlan.MAX_PROCESSES) {
			throw section.fault("kinds", plan.processes() + " processes", "at most " + TopologyPlan.MAX_PROCESSES);
		}
		return plan;
	}

	private static List<KindPlan> kinds(ScenarioSection section) {
		List<KindPlan> kinds = new ArrayList<>();
		for (String item : section.list("kinds")) {
			String[] parts = item.split(":");
			if (parts.length != 3 || !parts[0].matches("[a-z0-9]+") || !parts[1].matches("\\d{1,8}")
					|| !parts[2].matches("[1-9]\\d?")) {
				throw section.fault("kinds", item, "name:layer-micros:engines-per-stage, separated by commas");
			}
			kinds.add(new KindPlan(parts[0], Integer.parseInt(parts[1]), Integer.parseInt(parts[2])));
		}
		return (!kinds.isEmpty()) ? kinds : List.of(new KindPlan("fast", 100, 1), new KindPlan("slow", 300, 1));
	}

	private TargetPlan target() {
		ScenarioSection section = section("target");
		TargetPlan target = new TargetPlan(section.list("daemons"), section.list("keys"),
				section.text("model", "mill-qa"), section.integer("reference-layers", 0, 0, 10_000),
				section.text("service", "archive"));
		section.requireAllUsed();
		return target;
	}

	private List<FaultPlan> faults() {
		return this.sections.keySet()
			.stream()
			.filter((name) -> name.startsWith(FAULT_PREFIX))
			.map(this::fault)
			.toList();
	}

	private FaultPlan fault(String name) {
		ScenarioSection section = section(name);
		List<String> targets = section.list("targets");
		if (targets.isEmpty()) {
			throw section.fault("targets", "", "names of embedded processes or addresses, separated by commas");
		}
		FaultPlan plan = new FaultPlan(name.substring(FAULT_PREFIX.length()), targets, section.text("mode", "DOWN"),
				section.integer("at-millis", 0, 0, Integer.MAX_VALUE),
				section.integer("for-millis", 0, 0, Integer.MAX_VALUE),
				section.integer("delay-millis", 0, 0, Integer.MAX_VALUE), section.number("probability", 1),
				section.integer("repeat", 1, 1, 10_000), section.integer("every-millis", 0, 0, Integer.MAX_VALUE),
				section.integer("restart-after-millis", 0, 0, Integer.MAX_VALUE));
		section.requireAllUsed();
		return plan;
	}

	private ScenarioSection section(String name) {
		return new ScenarioSection(this.file, name, this.sections.getOrDefault(name, Map.of()));
	}

}
