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
 * Tracks the idle sockets and their addresses, so that the connections to one address can
 * be evicted. OkHttp's pool can only evict all connections; a socket that is closed here
 * fails the pool's health check and is not used again.
 */
final class IdleConnections extends EventListener {

	/** Number of releases between two removals of sockets that the pool closed. */
	private static final int PURGE_INTERVAL = 1_024;

	private final Map<Socket, String> addressByIdleSocket = new ConcurrentHashMap<>();

	private final AtomicInteger releaseCount = new AtomicInteger();

	@Override
	public void connectionAcquired(Call call, Connection connection) {
		this.addressByIdleSocket.remove(connection.socket());
	}

	@Override
	public void connectionReleased(Call call, Connection connection) {
		Socket socket = connection.socket();
		this.addressByIdleSocket.put(socket, address(connection));
		if (this.releaseCount.incrementAndGet() % PURGE_INTERVAL == 0) {
			this.addressByIdleSocket.keySet().removeIf(Socket::isClosed);
		}
	}

	int evict(String address) {
		int count = 0;
		Iterator<Map.Entry<Socket, String>> entries = this.addressByIdleSocket.entrySet().iterator();
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
