package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP proxy on loopback that passes, holds or refuses what goes through it. */
final class Link {
    enum Mode { PASS, HOLD, REFUSE }

    private final int target;
    private final int port;
    private final ServerSocket server;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private Mode mode = Mode.PASS;

    Link(int target) throws IOException {
        this.target = target;
        this.server = new ServerSocket();
        this.port = Http.freePort();
        server.bind(new InetSocketAddress(InetAddress.getByName(Http.HOST), port), 100);
        start(this::accept);
    }

    int port() {
        return port;
    }

    synchronized void set(Mode newMode) {
        mode = newMode;
        if (mode == Mode.REFUSE) {
            for (Socket socket : sockets) close(socket);
            sockets.clear();
        }
        notifyAll();
    }

    private synchronized Mode mode() {
        return mode;
    }

    /** Waits while the link holds. Returns whether it passes now. */
    private synchronized boolean awaitPass() throws InterruptedException {
        while (mode == Mode.HOLD) wait();
        return mode == Mode.PASS;
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket from = server.accept();
                if (mode() == Mode.REFUSE) {
                    reset(from);
                    continue;
                }
                start(() -> connect(from));
            }
        } catch (IOException e) {
            // The case is over.
        }
    }

    private void connect(Socket from) {
        try {
            if (!awaitPass()) {
                reset(from);
                return;
            }
            Socket to = new Socket(Http.HOST, target);
            from.setTcpNoDelay(true);
            to.setTcpNoDelay(true);
            sockets.add(from);
            sockets.add(to);
            start(() -> pump(from, to));
            pump(to, from);
        } catch (IOException | InterruptedException e) {
            close(from);
        }
    }

    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[65536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            while (true) {
                int count = in.read(buffer);
                if (!awaitPass() || count < 0) break;
                out.write(buffer, 0, count);
            }
        } catch (IOException | InterruptedException e) {
            // The connection is over.
        }
        close(from);
        close(to);
        sockets.remove(from);
        sockets.remove(to);
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // It is closed already.
        }
        close(socket);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
