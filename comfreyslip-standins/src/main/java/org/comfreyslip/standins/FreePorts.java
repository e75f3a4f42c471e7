package org.comfreyslip.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Draws ports for daemons of trials and tests, whose addresses stand in settings before
 * they start.
 */
public final class FreePorts {

	private static final String IP = "127.0.0.1";

	/**
	 * Below the range of ephemeral ports, so that no outgoing connection takes a port
	 * between its choice and the start of the daemon.
	 */
	private static final int FIRST_PORT = 20_000;

	private static final int PORTS = 10_000;

	private static final int PORT_ATTEMPTS = 100;

	/**
	 * Ports that were drawn before in this process. A port stays free until its process
	 * binds it, so that without them two processes could draw the same one.
	 */
	private static final Set<Integer> DRAWN_PORTS = ConcurrentHashMap.newKeySet();

	private FreePorts() {
	}

	/**
	 * Draws a port of 127.0.0.1 on which nobody listens and that was not drawn before.
	 * @return the port
	 * @throws IllegalStateException if too many ports in a row were in use
	 */
	public static int draw() {
		for (int i = 0; i < PORT_ATTEMPTS; i++) {
			int port = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORTS);
			if (!DRAWN_PORTS.add(port)) {
				continue;
			}
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(IP))) {
				return socket.getLocalPort();
			}
			catch (IOException ex) {
				// The port is in use; another one is tried.
			}
		}
		throw new IllegalStateException("no free port from " + FIRST_PORT + " on");
	}

}
