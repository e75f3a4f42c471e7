import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Runs the check of a case and exits with its result. */
final class Case {

	private static final int BROKEN = 1;

	private static final int NOT_RUN = 2;

	private Case() {
	}

	/** Whether the disruption takes place. */
	static boolean isTroubled() {
		return !"0".equals(System.getenv("TROUBLE"));
	}

	/** Runs a check in a deployment; records in the file record.txt of a folder. */
	static void run(String folder, Check check) {
		int status = NOT_RUN;
		Path temporary = null;
		try (Record record = new Record(Path.of(folder, "record.txt"))) {
			temporary = Files.createTempDirectory("review-");
			status = run(temporary, check, record);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		delete(temporary);
		System.exit(status);
	}

	private static int run(Path temporary, Check check, Record record) throws Exception {
		try (Deployment deployment = new Deployment(temporary)) {
			record.add((isTroubled()) ? "with the disruption" : "without the disruption");
			boolean broken = check.isRuleBroken(deployment, record);
			record.add((broken) ? "the rule was broken" : "the rule held");
			return (broken) ? BROKEN : 0;
		}
	}

	private static void delete(Path folder) {
		if (folder == null) {
			return;
		}
		try (Stream<Path> paths = Files.walk(folder)) {
			List<Path> deepestFirst = paths.sorted(Comparator.reverseOrder()).toList();
			for (Path path : deepestFirst) {
				Files.deleteIfExists(path);
			}
		}
		catch (IOException ex) {
			System.err.println("the temporary folder is not deleted: " + ex.getMessage());
		}
	}

	interface Check {

		boolean isRuleBroken(Deployment deployment, Record record) throws Exception;

	}

}
