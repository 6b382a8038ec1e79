package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 messages over blocking sockets, as far as the stand-ins need them. */
final class Http {
    private static final int SLOW_BUFFER_BYTES = 2_048;

    private Http() {}

    /** Reads at a limited rate. */
    private static final class Slow extends FilterInputStream {
        private static final int READ_BYTES = 4_096;
        private final int bytesPerMilli;

        Slow(InputStream in, int bytesPerMilli) {
            super(in);
            this.bytesPerMilli = bytesPerMilli;
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            int count = super.read(bytes, offset, Math.min(length, READ_BYTES));
            try {
                Thread.sleep(Math.max(0, count) / bytesPerMilli);
            } catch (InterruptedException exception) {
                throw new IOException(exception);
            }
            return count;
        }
    }

    /** The head of a message, with header names in any case, and its body. */
    static final class Message {
        String startLine = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String path() {
            return target().split("\\?", 2)[0];
        }

        String query(String name) {
            String[] parts = target().split("\\?", 2);
            if (parts.length < 2) return null;
            for (String field : parts[1].split("&")) {
                String[] pair = field.split("=", 2);
                if (pair[0].equals(name)) {
                    return java.net.URLDecoder.decode(pair.length > 1 ? pair[1] : "", StandardCharsets.UTF_8);
                }
            }
            return null;
        }
    }

    interface Handler {
        /** Answers the request. Returns whether the connection stays open. */
        boolean handle(Message request, Socket socket, InputStream in, OutputStream out) throws Exception;
    }

    /** Serves connections at a free port of the address until the process ends. */
    static ServerSocket serve(String address, Handler handler) throws IOException {
        return serve(address, handler, 0);
    }

    /** Serves connections, whose bytes are read at no more than {@code bytesPerMilli} unless that is 0. */
    static ServerSocket serve(String address, Handler handler, int bytesPerMilli) throws IOException {
        ServerSocket server = new ServerSocket();
        if (bytesPerMilli > 0) server.setReceiveBufferSize(SLOW_BUFFER_BYTES);
        server.bind(new InetSocketAddress(InetAddress.getByName(address), 0), 512);
        start("server " + server.getLocalPort(), () -> {
            while (true) {
                Socket socket;
                try {
                    socket = server.accept();
                } catch (IOException closed) {
                    return;
                }
                start("connection", () -> serve(socket, handler, bytesPerMilli));
            }
        });
        return server;
    }

    private static void serve(Socket socket, Handler handler, int bytesPerMilli) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream received = socket.getInputStream();
            InputStream in = new BufferedInputStream(bytesPerMilli > 0 ? new Slow(received, bytesPerMilli) : received);
            OutputStream out = socket.getOutputStream();
            while (true) {
                Message request = readHead(in);
                if (request == null) return;
                request.body = readBody(request, in);
                if (!handler.handle(request, socket, in, out)) return;
            }
        } catch (Exception lost) {
            // The other side has closed the connection, or a case has.
        }
    }

    /** Reads a head, or returns null at the end of the connection. */
    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        String line = readLine(in);
        if (line == null) return null;
        message.startLine = line;
        while (true) {
            line = readLine(in);
            if (line == null) throw new EOFException("connection ended in a head");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    static byte[] readBody(Message message, InputStream in) throws IOException {
        if ("chunked".equalsIgnoreCase(message.headers.get("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in).trim(), 16);
                body.write(readFully(in, size));
                readLine(in);
                if (size == 0) return body.toByteArray();
            }
        }
        String length = message.headers.get("Content-Length");
        return length == null ? new byte[0] : readFully(in, Integer.parseInt(length));
    }

    static byte[] readFully(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("connection ended in a body");
        return bytes;
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("connection ended in a line");
            }
            if (next == '\n') return line.toString(StandardCharsets.UTF_8);
            if (next != '\r') line.write(next);
        }
    }

    static void respond(OutputStream out, int status, String headers, byte[] body) throws IOException {
        out.write(("HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
            .getBytes(StandardCharsets.UTF_8));
        out.write(body);
        out.flush();
    }

    static Thread start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
