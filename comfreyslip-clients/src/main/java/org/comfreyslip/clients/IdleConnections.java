package org.comfreyslip.clients;

import java.io.IOException;
import java.net.Socket;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import okhttp3.Call;
import okhttp3.Connection;
import okhttp3.EventListener;

/**
 * Knows the idle sockets per address. OkHttp's pool can only evict all connections; a
 * socket that is closed here fails the pool's health check and is not used again.
 */
final class IdleConnections extends EventListener {

	/** Releases after which sockets that the pool closed are dropped from the table. */
	private static final int PURGE_INTERVAL = 1_024;

	private final Map<Socket, String> idle = new ConcurrentHashMap<>();

	private final AtomicInteger releases = new AtomicInteger();

	@Override
	public void connectionAcquired(Call call, Connection connection) {
		this.idle.remove(connection.socket());
	}

	@Override
	public void connectionReleased(Call call, Connection connection) {
		Socket socket = connection.socket();
		this.idle.put(socket, address(connection));
		if (this.releases.incrementAndGet() % PURGE_INTERVAL == 0) {
			this.idle.keySet().removeIf(Socket::isClosed);
		}
	}

	int evict(String address) {
		int count = 0;
		Iterator<Map.Entry<Socket, String>> entries = this.idle.entrySet().iterator();
		while (entries.hasNext()) {
			Map.Entry<Socket, String> entry = entries.next();
			if (entry.getValue().equals(address)) {
				entries.remove();
				close(entry.getKey());
				count++;
			}
		}
		return count;
	}

	private static String address(Connection connection) {
		return connection.route().address().url().host() + ":" + connection.route().address().url().port();
	}

	private static void close(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// The socket is unusable either way.
		}
	}

}
