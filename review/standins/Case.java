import java.nio.file.Path;

/** Runs a case and ends the process with its result. */
final class Case {

	static final int HELD = 0;

	static final int BROKEN = 1;

	static final int COULD_NOT_RUN = 2;

	private Case() {
	}

	interface Body {

		int run(Deployment deployment) throws Exception;

	}

	static void run(String[] arguments, Body body) {
		int exit = COULD_NOT_RUN;
		try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
			try {
				exit = body.run(deployment);
			}
			catch (Exception ex) {
				deployment.record("the case could not run: " + ex);
			}
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(exit);
	}

}
