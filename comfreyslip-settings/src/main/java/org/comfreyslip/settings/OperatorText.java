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
 * Converts an operators' text to typed records.
 */
public final class OperatorText {

	/** Format that this version reads and writes ({@code format} of the text). */
	public static final int FORMAT = OperatorTextSchema.FORMAT;

	private OperatorText() {
	}

	/**
	 * Parses a text.
	 * @param fileName the name for the faults
	 * @param text the INI text
	 * @return the records, in the order of the text
	 * @throws CodedException with code {@code INVALID_SETTINGS} that lists all faults
	 */
	public static Topology parse(String fileName, String text) {
		FaultList faults = new FaultList(fileName);
		CheckedText checked = OperatorTextChecker.checked(fileName, text, faults);
		faults.throwIfAny();
		return new Topology(checked.sections(OperatorTextSchema.MODEL).stream().map(OperatorText::model).toList(),
				checked.sections(OperatorTextSchema.KIND).stream().map(OperatorText::kind).toList(),
				checked.sections(OperatorTextSchema.ENGINE).stream().map(OperatorText::engine).toList(),
				checked.sections(OperatorTextSchema.SERVICE).stream().map(OperatorText::service).toList(),
				checked.sections(OperatorTextSchema.ENDPOINT).stream().map(OperatorText::endpoint).toList(),
				checked.sections(OperatorTextSchema.ACCOUNT).stream().map(OperatorText::account).toList(),
				checked.sections(OperatorTextSchema.OPERATOR).stream().map(OperatorText::operator).toList(),
				checked.sections(OperatorTextSchema.LINK).stream().map(OperatorText::link).toList());
	}

	static LayerRange toRange(String value) {
		List<Integer> bounds = List.of(value.split("-")).stream().map(Integer::parseInt).toList();
		return new LayerRange(bounds.get(0), bounds.get(1));
	}

	private static ModelSpec model(CheckedSection section) {
		return new ModelSpec(section.name(), section.number("layers"), section.text("version"),
				section.list("adapters"), section.list("depends"));
	}

	private static KindSpec kind(CheckedSection section) {
		return new KindSpec(section.name(), section.number("layer-micros"));
	}

	private static EngineSpec engine(CheckedSection section) {
		return new EngineSpec(section.name(), section.text("address"), section.text("data-centre"),
				section.text("kind"), section.text("model"), toRange(section.text("layers")),
				FencingMode.valueOf(section.text("fencing").toUpperCase(Locale.ROOT)));
	}

	private static ServiceSpec service(CheckedSection section) {
		return new ServiceSpec(section.name(),
				section.list("protected").stream().map(ValueRules::toCallPattern).toList(), section.find("lookup"),
				Boolean.parseBoolean(section.find("enforces-send-by").orElse("false")),
				section.list("refusal-statuses").stream().map(Integer::valueOf).collect(Collectors.toUnmodifiableSet()),
				section.list("depends"), section.number("timeout-ms", OperatorTextSchema.DEFAULT_TIMEOUT_MILLIS));
	}

	private static EndpointSpec endpoint(CheckedSection section) {
		return new EndpointSpec(section.name(), section.text("service"), section.text("address"),
				section.text("data-centre"));
	}

	private static AccountSpec account(CheckedSection section) {
		String priority = section.find("priority").orElse(OperatorTextSchema.DEFAULT_PRIORITY);
		return new AccountSpec(section.name(), section.list("credential-sha256"), section.number("max-concurrent"),
				Priority.valueOf(priority.toUpperCase(Locale.ROOT)),
				Math.toIntExact(section.number("weight", OperatorTextSchema.DEFAULT_WEIGHT)));
	}

	private static OperatorSpec operator(CheckedSection section) {
		return new OperatorSpec(section.name(), section.list("credential-sha256"));
	}

	private static LinkSpec link(CheckedSection section) {
		return new LinkSpec(section.names().get(0), section.names().get(1), section.number("bandwidth-mbit"),
				section.number("latency-micros"));
	}

}
