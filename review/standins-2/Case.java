import java.nio.file.Files;
import java.nio.file.Path;

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
		try (Record record = new Record(Path.of(folder, "record.txt"));
				Deployment deployment = new Deployment(Files.createTempDirectory("review-"))) {
			record.add((isTroubled()) ? "with the disruption" : "without the disruption");
			boolean broken = check.isRuleBroken(deployment, record);
			record.add((broken) ? "the rule was broken" : "the rule held");
			status = (broken) ? BROKEN : 0;
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(status);
	}

	interface Check {

		boolean isRuleBroken(Deployment deployment, Record record) throws Exception;

	}

}
