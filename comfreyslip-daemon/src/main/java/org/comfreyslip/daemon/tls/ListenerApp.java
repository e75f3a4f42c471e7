package org.comfreyslip.daemon.tls;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

import io.jooby.Jooby;
import io.netty.handler.ssl.NotSslRecordException;
import org.comfreyslip.daemon.DaemonEvent;
import org.comfreyslip.daemon.listener.StrictListenerExtension;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A Jooby application that keeps request bytes out of the log. Netty's error for a plain
 * HTTP request at a TLS listener quotes the request in hex, including its credential, and
 * Jooby logs that error. Here it is logged as {@link DaemonEvent#NOT_TLS} instead.
 */
public final class ListenerApp extends Jooby {

	static {
		StrictListenerExtension.enable();
	}

	private Logger log;

	@Override
	public synchronized Logger getLog() {
		if (this.log == null) {
			this.log = withoutRequestBytes(LoggerFactory.getLogger(Jooby.class));
		}
		return this.log;
	}

	private static Logger withoutRequestBytes(Logger target) {
		return (Logger) Proxy.newProxyInstance(Logger.class.getClassLoader(), new Class<?>[] { Logger.class },
				(proxy, method, arguments) -> {
					if (arguments != null && quotesRequest(arguments[arguments.length - 1])) {
						DaemonEvent.NOT_TLS.log();
						return null;
					}
					try {
						return method.invoke(target, arguments);
					}
					catch (InvocationTargetException ex) {
						throw ex.getCause();
					}
				});
	}

	private static boolean quotesRequest(Object argument) {
		Throwable cause = (argument instanceof Throwable thrown) ? thrown : null;
		while (cause != null && !(cause instanceof NotSslRecordException)) {
			cause = cause.getCause();
		}
		return cause != null;
	}

}
