package org.comfreyslip.settings;

import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against texts that exhaust the memory, against text in another encoding that is
 * read as UTF-8, and against lines that the parser drops or merges.
 */
class IniDocumentTests {

	@Test
	void duplicateSectionsAndKeysAreKeptInTheOrderOfTheText() {
		IniDocument document = IniDocument.parse("f", "[a]\nk = 1\nk = 2\n[b]\n[a]\nk = 3\n");
		assertThat(document.sections()).extracting(IniSection::name).containsExactly("a", "b", "a");
		assertThat(document.sections().get(0).entries()).containsExactly(new IniEntry("k", "1"),
				new IniEntry("k", "2"));
		assertThat(document.sections().get(0).find("k")).contains("1");
	}

	@Test
	void valuesKeepBackslashesAndFurtherSeparators() {
		IniDocument document = IniDocument.parse("f", "[a]\nk = C:\\new\\\nj = x=y # z\n");
		assertThat(document.sections().get(0).entries()).containsExactly(new IniEntry("k", "C:\\new\\"),
				new IniEntry("j", "x=y # z"));
	}

	@Test
	void anIncludeLineIsReadAsAKeyAndNotAsAFile() {
		assertThat(OperatorTextChecker.check("f", SampleTexts.VALID + "\n<pom.xml>\n")).singleElement()
			.satisfies((fault) -> assertThat(fault.found()).contains("unknown key"));
	}

	@Test
	void syntaxErrorsAreReportedWithTheirLinesAndTheOtherLinesAreChecked() {
		String text = "[a\n" + SampleTexts.VALID.replace("weight = 3", "weight = 3\n= 4");
		assertThat(IniDocument.parse("f", text).faults()).extracting(SettingsFault::found)
			.containsExactly("line 1: [a", "line 49: = 4");
		assertThat(OperatorTextChecker.check("f", text.replace("timeout-ms = 2000", "timeout-ms = 2s"))).hasSize(3);
	}

	@Test
	void manySyntaxErrorsAreReportedUpToALimit() {
		assertThat(IniDocument.parse("f", "[a\n".repeat(500)).faults()).hasSize(IniDocument.MAX_SYNTAX_FAULTS);
	}

	@Test
	void aMillionLinesAreCheckedAndTheNumberOfFaultsIsLimited() {
		String text = "[a]\n" + "k=\n".repeat(IniDocument.MAX_LINES - 1);
		assertThat(IniDocument.parse("f", text).sections().get(0).entries()).hasSize(IniDocument.MAX_LINES - 1);
		assertThat(OperatorTextChecker.check("f", text)).isNotEmpty();
		String unknown = "[comfreyslip]\n" + "k=\n".repeat(IniDocument.MAX_LINES - 1);
		assertThat(OperatorTextChecker.check("f", unknown)).hasSize(FaultList.MAX_FAULTS + 1)
			.last()
			.satisfies((fault) -> assertThat(fault.found()).endsWith("more faults"));
	}

	@Test
	void aTextOverTheLineLimitIsRejectedAsAWhole() {
		assertThat(OperatorTextChecker.check("f", "\n".repeat(IniDocument.MAX_LINES + 1))).singleElement()
			.satisfies((fault) -> assertThat(fault.found()).isEqualTo("1000001 lines"));
	}

	@Test
	void aTextOverTheByteLimitIsRejectedAsAWhole() {
		String ascii = "a".repeat(IniDocument.MAX_BYTES + 1);
		assertThat(OperatorTextChecker.check("f", ascii)).singleElement()
			.satisfies((fault) -> assertThat(fault.allowed()).contains("at most 4194304 bytes"));
		String twoBytesEach = "\u010D".repeat(IniDocument.MAX_BYTES / 2 + 1);
		assertThat(OperatorTextChecker.check("f", twoBytesEach)).singleElement()
			.satisfies((fault) -> assertThat(fault.found()).isEqualTo("4194306 bytes"));
		assertThatExceptionOfType(CodedException.class)
			.isThrownBy(() -> IniDocument.decode("f", new byte[IniDocument.MAX_BYTES + 1]))
			.matches((ex) -> ex.code() == ErrorCode.INVALID_SETTINGS);
	}

	@Test
	void invalidUtf8IsRejectedInBytesAndAsAReplacementCharacter() {
		byte[] latin1 = "[account Kova\u010Di\u010D]".getBytes(Charset.forName("ISO-8859-2"));
		assertThatExceptionOfType(CodedException.class).isThrownBy(() -> IniDocument.decode("ops.ini", latin1))
			.withMessageContaining("ops.ini: found bytes that are not UTF-8");
		assertThat(OperatorTextChecker.check("f", new String(latin1, StandardCharsets.UTF_8))).singleElement()
			.satisfies((fault) -> assertThat(fault.allowed()).isEqualTo("UTF-8 text"));
		assertThat(OperatorTextChecker.check("f", "[a]\nk = \uD800\n")).hasSize(1);
	}

}
