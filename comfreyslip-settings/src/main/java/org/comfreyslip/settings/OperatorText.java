package org.comfreyslip.settings;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.routing.topology.AccountSpec;
import org.comfreyslip.routing.topology.EndpointSpec;
import org.comfreyslip.routing.topology.EngineSpec;
import org.comfreyslip.routing.topology.FencingMode;
import org.comfreyslip.routing.topology.KindSpec;
import org.comfreyslip.routing.topology.LayerRange;
import org.comfreyslip.routing.topology.LinkSpec;
import org.comfreyslip.routing.topology.ModelSpec;
import org.comfreyslip.routing.topology.OperatorSpec;
import org.comfreyslip.routing.topology.Priority;
import org.comfreyslip.routing.topology.ServiceSpec;
import org.comfreyslip.routing.topology.Topology;

/**
 * Converts the operators' configuration text to a {@link Topology}.
 */
public final class OperatorText {

	/** Value of the key {@code format} that this version reads and writes. */
	public static final int FORMAT = OperatorTextSchema.FORMAT;

	private OperatorText() {
	}

	/**
	 * Checks a text and converts it to a topology.
	 * @param fileName the file name that faults report; the file is not read
	 * @param text the INI text
	 * @return the topology; its records have the order of the text
	 * @throws CodedException with code {@code INVALID_SETTINGS} and a message that lists
	 * all faults, one per line
	 */
	public static Topology parse(String fileName, String text) {
		FaultList faults = new FaultList(fileName);
		CheckedText checked = OperatorTextChecker.parseAndCheck(fileName, text, faults);
		faults.throwIfAny();
		return new Topology(checked.sections(OperatorTextSchema.MODEL).stream().map(OperatorText::toModel).toList(),
				checked.sections(OperatorTextSchema.KIND).stream().map(OperatorText::toKind).toList(),
				checked.sections(OperatorTextSchema.ENGINE).stream().map(OperatorText::toEngine).toList(),
				checked.sections(OperatorTextSchema.SERVICE).stream().map(OperatorText::toService).toList(),
				checked.sections(OperatorTextSchema.ENDPOINT).stream().map(OperatorText::toEndpoint).toList(),
				checked.sections(OperatorTextSchema.ACCOUNT).stream().map(OperatorText::toAccount).toList(),
				checked.sections(OperatorTextSchema.OPERATOR).stream().map(OperatorText::toOperator).toList(),
				checked.sections(OperatorTextSchema.LINK).stream().map(OperatorText::toLink).toList());
	}

	static LayerRange toLayerRange(String value) {
		List<Integer> bounds = List.of(value.split("-")).stream().map(Integer::parseInt).toList();
		return new LayerRange(bounds.get(0), bounds.get(1));
	}

	private static ModelSpec toModel(CheckedSection section) {
		return new ModelSpec(section.name(), section.requireInt("layers"), section.requireText("version"),
				section.list("adapters"), section.list("depends"));
	}

	private static KindSpec toKind(CheckedSection section) {
		return new KindSpec(section.name(), section.requireInt("layer-micros"));
	}

	private static EngineSpec toEngine(CheckedSection section) {
		return new EngineSpec(section.name(), section.requireText("address"), section.requireText("data-centre"),
				section.requireText("kind"), section.requireText("model"), toLayerRange(section.requireText("layers")),
				FencingMode.valueOf(section.requireText("fencing").toUpperCase(Locale.ROOT)));
	}

	private static ServiceSpec toService(CheckedSection section) {
		return new ServiceSpec(section.name(),
				section.list("protected").stream().map(ValueRules::toCallPattern).toList(), section.find("lookup"),
				Boolean.parseBoolean(section.find("enforces-send-by").orElse("false")),
				section.list("refusal-statuses").stream().map(Integer::valueOf).collect(Collectors.toUnmodifiableSet()),
				section.list("depends"),
				section.longOrDefault("timeout-ms", OperatorTextSchema.DEFAULT_TIMEOUT_MILLIS));
	}

	private static EndpointSpec toEndpoint(CheckedSection section) {
		return new EndpointSpec(section.name(), section.requireText("service"), section.requireText("address"),
				section.requireText("data-centre"));
	}

	private static AccountSpec toAccount(CheckedSection section) {
		String priority = section.find("priority").orElse(OperatorTextSchema.DEFAULT_PRIORITY);
		return new AccountSpec(section.name(), section.list("credential-sha256"), section.requireInt("max-concurrent"),
				Priority.valueOf(priority.toUpperCase(Locale.ROOT)),
				Math.toIntExact(section.longOrDefault("weight", OperatorTextSchema.DEFAULT_WEIGHT)));
	}

	private static OperatorSpec toOperator(CheckedSection section) {
		return new OperatorSpec(section.name(), section.list("credential-sha256"));
	}

	private static LinkSpec toLink(CheckedSection section) {
		return new LinkSpec(section.names().get(0), section.names().get(1), section.requireInt("bandwidth-mbit"),
				section.requireInt("latency-micros"));
	}

}
