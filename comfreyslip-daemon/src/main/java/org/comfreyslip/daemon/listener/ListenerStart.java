package org.comfreyslip.daemon.listener;

import io.jooby.Jooby;
import io.jooby.netty.NettyServer;

/**
 * Starts Jooby's servers and reports an address that cannot be used. Jooby throws checked
 * exceptions that it does not declare, so all exceptions are caught.
 */
public final class ListenerStart {

	private ListenerStart() {
	}

	/**
	 * Starts a server.
	 * @param server the server, with its options set
	 * @param app the application with the routes
	 * @param listen where it listens, as ip:port
	 * @param setting the name of the setting with the address, for the error message
	 * @throws IllegalStateException if the address cannot be used
	 */
	public static void start(NettyServer server, Jooby app, String listen, String setting) {
		try {
			server.start(app);
		}
		catch (Exception ex) {
			server.stop();
			throw new IllegalStateException("cannot listen at " + listen + ": " + ex.getMessage()
					+ "; end the process that uses the address or change " + setting, ex);
		}
	}

}
