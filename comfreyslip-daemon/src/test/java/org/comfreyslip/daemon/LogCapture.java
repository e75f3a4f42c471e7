package org.comfreyslip.daemon;

import java.io.StringWriter;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.WriterAppender;
import org.apache.logging.log4j.core.config.LoggerConfig;
import org.apache.logging.log4j.core.layout.PatternLayout;

/**
 * Captures all log messages of the process, with stack traces, until it is closed.
 */
public final class LogCapture implements AutoCloseable {

	private static final String APPENDER_NAME = "capture";

	private final StringWriter text = new StringWriter();

	/**
	 * Starts the capture.
	 */
	public LogCapture() {
		PatternLayout layout = PatternLayout.newBuilder().withPattern("%m%n%throwable").build();
		WriterAppender appender = WriterAppender.createAppender(layout, null, this.text, APPENDER_NAME, false, true);
		appender.start();
		root().addAppender(appender, Level.ALL, null);
	}

	/**
	 * Returns the log so far.
	 * @return the messages since the start of the capture
	 */
	public String text() {
		return this.text.toString();
	}

	@Override
	public void close() {
		root().removeAppender(APPENDER_NAME);
	}

	private static LoggerConfig root() {
		return ((LoggerContext) LogManager.getContext(false)).getConfiguration().getRootLogger();
	}

}
