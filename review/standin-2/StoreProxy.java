import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Passes the connections of one machine to the store, or turns them away. */
final class StoreProxy {
    private final ServerSocket mServer;
    private final int mStorePort;
    private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();
    private volatile boolean mBusy;
    private volatile boolean mWatched;

    StoreProxy(final int storePort) throws IOException {
        mStorePort = storePort;
        mServer = new ServerSocket(Fleet.freePort(), 200, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(this::acceptAll);
    }

    int port() {
        return mServer.getLocalPort();
    }

    /** Returns whether the machine has watched the configuration. */
    boolean isWatched() {
        return mWatched;
    }

    /** Answers every call with 503 from now on and cuts those that wait, or stops to do so. */
    void setBusy(final boolean busy) {
        mBusy = busy;
        if (busy) {
            mOpen.forEach(StoreProxy::close);
        }
    }

    private void acceptAll() {
        while (true) {
            try {
                final Socket socket = mServer.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(final Socket client) {
        if (mBusy) {
            refuse(client);
            return;
        }
        try {
            final Socket store = new Socket(InetAddress.getByName("127.0.0.1"), mStorePort);
            store.setTcpNoDelay(true);
            client.setTcpNoDelay(true);
            mOpen.add(client);
            final byte[] first = new byte[1_024];
            final int length = client.getInputStream().read(first);
            if (length > 0) {
                final String text = new String(first, 0, length, StandardCharsets.ISO_8859_1);
                mWatched |= text.startsWith("GET /-/objects/config?") && text.contains("watch=");
                store.getOutputStream().write(first, 0, length);
            }
            Thread.ofVirtual().start(() -> copy(store, client));
            copy(client, store);
        } catch (IOException e) {
            close(client);
        } finally {
            mOpen.remove(client);
        }
    }

    private static void refuse(final Socket client) {
        try {
            while (true) {
                final Http.Head head = Http.readHead(client.getInputStream());
                if (head == null) {
                    break;
                }
                Http.readBody(client.getInputStream(), head);
                client.getOutputStream()
                        .write(
                                Http.bytes(
                                        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
                                                + "\r\n"));
            }
        } catch (IOException e) {
            // The client has closed the connection.
        }
        close(client);
    }

    private static void copy(final Socket from, final Socket to) {
        try {
            from.getInputStream().transferTo(to.getOutputStream());
        } catch (IOException e) {
            // Either end has closed the connection.
        }
        close(from);
        close(to);
    }

    private static void close(final Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }
}
