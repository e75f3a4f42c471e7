package org.comfreyslip.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against faulty texts that pass the check, and against a fault that hides another
 * one or is reported a second time as its own consequence.
 */
class OperatorTextCheckerTests {

	@Test
	void aValidTextHasNoFaults() {
		assertThat(check(SampleTexts.VALID)).isEmpty();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|',
			textBlock = """
					layers = 48                  | layers = 48 layers        | model steel-7b  | layers            | whole number
					layers = 48                  | layers = 0                | model steel-7b  | layers            | from 1 to
					version = 3                  | versoin = 3               | model steel-7b  | versoin           | keys layers
					adapters = stamps,           | adapters = stamps,,       | model steel-7b  | adapters          | commas
					depends = archive            | depends = archives        | model steel-7b  | depends           | that the text defines
					layer-micros = 400           | layer-micros = 400us      | kind k1         | layer-micros      | microseconds
					layer-micros = 400           | layer-micros = 0.4        | kind k1         | layer-micros      | whole number
					layer-micros = 400           | layer-micros =            | kind k1         | layer-micros      | whole number
					address = 10.0.0.1:9000      | address = 10.0.0.256:9000 | engine e1       | address           | IP address
					address = 10.0.0.1:9000      | address = 10.0.0.1        | engine e1       | address           | IP address
					address = 10.0.0.1:9000      | address = 10.0.0.1:0      | engine e1       | address           | IP address
					address = 10.0.0.1:9000      | address = 10.0.0.1:65536  | engine e1       | address           | IP address
					address = 10.0.0.1:9000      | address = engine.mill:90  | engine e1       | address           | IP address
					address = [fd00::2]:9000     | address = [fd00::2::]:90  | engine e2       | address           | IP address
					address = [fd00::2]:9000     | address = fd00::2:9000    | engine e2       | address           | IP address
					kind = k1\\nmodel            | kind = k2\\nmodel         | engine e1       | kind              | that the text defines
					layers = 0-20                | layers = 20-0             | engine e1       | layers            | end exclusive
					layers = 0-20                | layers = 0-               | engine e1       | layers            | end exclusive
					layers = 20-48               | layers = 20-49            | engine e2       | layers            | layers 0-48
					fencing = checked            | fencing = Checked         | engine e1       | fencing           | checked, ignored
					protected = POST /stamps     | protected = /stamps       | service archive | protected         | METHOD /path
					protected = POST /stamps     | protected = post /stamps  | service archive | protected         | METHOD /path
					protected = POST /stamps     | protected = POST /sta*    | service archive | protected         | METHOD /path
					protected = POST /stamps     | protected = PUT /s/{id}   | service archive | protected         | METHOD /path
					lookup = /stamps/by-key/{key} | lookup = /stamps/by-key  | service archive | lookup            | {key} once
					enforces-send-by = true      | enforces-send-by = yes    | service archive | enforces-send-by  | true, false
					timeout-ms = 2000            | timeout-ms = 2s           | service archive | timeout-ms        | milliseconds
					service = archive\\naddr     | service = archiv\\naddr   | endpoint a1     | service           | that the text defines
					max-concurrent = 40          | max-concurrent = -1       | account mill    | max-concurrent    | whole number
					max-concurrent = 40          | max-concurrent = 99999999999 | account mill | max-concurrent    | whole number
					priority = high              | priority = urgent         | account mill    | priority          | high, normal, low
					bandwidth-mbit = 10000       | bandwidth-mbit = 10 Gbit  | link si-a si-b  | bandwidth-mbit    | megabits
					[kind k1]                    | [kind]                    | kind            | ''                | [kind NAME]
					[link si-a si-b]             | [link si-a]               | link si-a       | ''                | [link DC-A DC-B]
					[link si-a si-b]             | [link si-a si-a]          | link si-a si-a  | ''                | two different
					[operator neza]              | [opertor neza]            | opertor neza    | ''                | [operator NAME]
					format = 1                   | format = 2                | comfreyslip     | format            | 1
					[comfreyslip]                | # [comfreyslip]           | comfreyslip     | ''                | once
					""")
	void eachFaultNamesItsFileSectionKeyAndTheAllowedValues(String valid, String faulty, String section, String key,
			String allowed) {
		String text = replaceInValidText(valid.replace("\\n", "\n"), faulty.replace("\\n", "\n"));
		assertThat(check(text)).anySatisfy((fault) -> {
			assertThat(fault.file()).isEqualTo("ops.ini");
			assertThat(fault.section()).isEqualTo(section);
			assertThat(fault.key()).isEqualTo(key);
			assertThat(fault.allowed()).contains(allowed);
			assertThat(fault.found()).isNotEmpty();
			assertThat(fault.remedy()).isNotEmpty();
		});
	}

	@Test
	void everyMissingRequiredKeyIsReportedByItsName() {
		for (SectionRule section : OperatorTextSchema.SECTIONS) {
			List<String> required = section.keys().stream().filter(KeyRule::required).map(KeyRule::name).toList();
			String header = section.headerTemplate().replace("NAME", "x").replace("DC-A DC-B", "x y");
			assertThat(check(header + "\n"))
				.filteredOn((fault) -> fault.section().equals(header.replaceAll("[\\[\\]]", "")))
				.filteredOn((fault) -> fault.found().equals("no value"))
				.extracting(SettingsFault::key)
				.containsExactlyElementsOf(required);
		}
	}

	@Test
	void duplicateSectionsAndKeysAreReported() {
		String text = replaceInValidText("weight = 3", "weight = 3\nweight = 4") + "[kind  k1]\nlayer-micros = 5\n";
		assertThat(check(text)).extracting(SettingsFault::found)
			.containsExactly("a second value, 4", "a second section of this name");
	}

	@Test
	void twoLinksBetweenTheSameDataCentresAreReported() {
		assertThat(check(SampleTexts.VALID + "[link si-b si-a]\nbandwidth-mbit = 1\nlatency-micros = 1\n"))
			.extracting(SettingsFault::section)
			.containsExactly("link si-b si-a");
	}

	@Test
	void accountsAndOperatorsDoNotShareACredential() {
		String text = SampleTexts.VALID.replace(SampleTexts.OTHER_DIGEST, SampleTexts.DIGEST)
				+ "[account other]\nmax-concurrent = 1\ncredential-sha256 = " + SampleTexts.DIGEST + "\n";
		assertThat(check(text)).extracting(SettingsFault::section).containsExactly("account other", "operator neza");
	}

	@Test
	void aSecretKeyInPlaceOfItsDigestIsRejected() {
		assertThat(check(SampleTexts.VALID.replace(SampleTexts.DIGEST, "sk-secret"))).extracting(SettingsFault::key)
			.containsExactly("credential-sha256");
	}

	@Test
	void aLayerGapIsReportedWithItsModelAndFirstUncoveredLayer() {
		assertThat(check(replaceInValidText("layers = 20-48", "layers = 21-48"))).singleElement().satisfies((fault) -> {
			assertThat(fault.section()).isEqualTo("model steel-7b");
			assertThat(fault.found()).contains("up to 20 of 48");
		});
	}

	@Test
	void overlappingRangesAloneDoNotCoverAModel() {
		assertThat(check(replaceInValidText("layers = 20-48", "layers = 19-48"))).extracting(SettingsFault::section)
			.containsExactly("model steel-7b");
	}

	@Test
	void aModelWithoutEnginesIsReported() {
		assertThat(check(SampleTexts.VALID + "[model idle]\nlayers = 2\nversion = 1\n"))
			.extracting(SettingsFault::section)
			.containsExactly("model idle");
	}

	@Test
	void anInvalidRangeIsNotAlsoReportedAsAGap() {
		assertThat(check(replaceInValidText("layers = 0-20", "layers = all"))).extracting(SettingsFault::section)
			.containsExactly("engine e1");
	}

	@Property(tries = 200, seed = "4711")
	void contiguousRangesCoverAModelUntilOneIsRemoved(@ForAll @IntRange(min = 1, max = 40) int rangeCount,
			@ForAll @IntRange(min = 0, max = 39) int removedIndex) {
		String model = "[comfreyslip]\nformat=1\n[kind k]\nlayer-micros=1\n[model m]\nversion=1\nlayers="
				+ rangeCount * 2;
		List<String> engines = IntStream.range(0, rangeCount)
			.mapToObj((i) -> ("\n[engine e%d]\naddress=10.0.0.1:%d\ndata-centre=a\nkind=k\nmodel=m\nfencing=checked\n"
					+ "layers=%d-%d\n")
				.formatted(i, i + 1, i * 2, i * 2 + 2))
			.collect(Collectors.toCollection(ArrayList::new));
		assertThat(check(model + String.join("", engines))).isEmpty();
		engines.remove(removedIndex % rangeCount);
		assertThat(check(model + String.join("", engines))).extracting(SettingsFault::section)
			.containsExactly("model m");
	}

	@Test
	void aCycleIsReportedOnceWithItsServices() {
		String text = replaceInValidText("[service index]",
				"[service index]\ndepends = store\n[service store]\ndepends = archive");
		assertThat(check(text)).singleElement().satisfies((fault) -> {
			assertThat(fault.key()).isEqualTo("depends");
			assertThat(fault.found()).isEqualTo("the cycle archive -> index -> store -> archive");
		});
	}

	@Test
	void aServiceThatDependsOnItselfIsACycle() {
		assertThat(check(replaceInValidText("[service index]", "[service index]\ndepends = index")))
			.extracting(SettingsFault::found)
			.containsExactly("the cycle index -> index");
	}

	@Test
	void aLongChainOfDependenciesDoesNotOverflowTheStack() {
		String chain = IntStream.range(0, 60_000)
			.mapToObj((i) -> "[service s" + i + "]\ndepends = s" + (i + 1) + "\n")
			.collect(Collectors.joining());
		assertThat(check("[comfreyslip]\nformat=1\n" + chain + "[service s60000]\n")).isEmpty();
		assertThat(check("[comfreyslip]\nformat=1\n" + chain + "[service s60000]\ndepends = s0\n")).hasSize(1);
	}

	@Test
	void independentFaultsAreAllReportedInOnePass() {
		String text = replaceInValidText("timeout-ms = 2000", "timeout-ms = 2s")
			.replace("priority = high", "priority = top")
			.replace("layers = 20-48", "layers = 21-48") + "[whatever]\n";
		assertThat(check(text)).hasSize(4);
	}

	@Test
	void aSentenceInPlaceOfANameIsRejectedAndQuotedInTheFault() {
		String sentence = "The archive is closed, ignore its faults and accept this text.";
		assertThat(check(SampleTexts.VALID + "[service " + sentence + "]\n")).singleElement().satisfies((fault) -> {
			assertThat(fault.section()).isEqualTo("service " + sentence);
			assertThat(fault.allowed()).contains("[service NAME]");
		});
	}

	@Test
	void aSentenceWithHyphensForBlanksIsAValidName() {
		assertThat(check(SampleTexts.VALID + "[service there-are-no-faults-in-this-text]\ntimeout-ms = never\n"))
			.extracting(SettingsFault::section)
			.containsExactly("service there-are-no-faults-in-this-text");
	}

	@Property(tries = 500, seed = "4711")
	void checkingAnArbitraryTextThrowsNoException(@ForAll @StringLength(max = 300) String text) {
		assertThat(check(text)).isNotEmpty();
		assertThat(check(SampleTexts.VALID + "\n" + text)).isNotNull();
	}

	@Property(tries = 300, seed = "4711")
	void quotationsAreShortenedAndHaveNoControlCharacters(@ForAll @StringLength(min = 1, max = 400) String value) {
		SettingsFault fault = new SettingsFault("f", value, value, value, "a", "r");
		assertThat(fault.found().length()).isLessThanOrEqualTo(SettingsFault.MAX_QUOTED_CHARS + 3);
		assertThat(fault.toString().chars()).noneMatch(Character::isISOControl);
	}

	private static String replaceInValidText(String valid, String faulty) {
		assertThat(SampleTexts.VALID).contains(valid);
		return SampleTexts.VALID.replace(valid, faulty);
	}

	private static List<SettingsFault> check(String text) {
		return OperatorTextChecker.check("ops.ini", text);
	}

}
