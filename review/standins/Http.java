package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** A small HTTP/1.1 server and client over blocking sockets, one thread for each connection. */
final class Http {
    private Http() {}

    /** A request that has been read completely. Header names are compared without regard to case. */
    static final class Request {
        String method;
        String uri;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        String peer;

        String path() {
            int mark = uri.indexOf('?');
            return mark < 0 ? uri : uri.substring(0, mark);
        }

        Map<String, String> query() {
            Map<String, String> query = new LinkedHashMap<>();
            int mark = uri.indexOf('?');
            if (mark < 0) return query;
            for (String part : uri.substring(mark + 1).split("&")) {
                int equals = part.indexOf('=');
                if (equals > 0) {
                    String value = java.net.URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8);
                    query.put(part.substring(0, equals), value);
                }
            }
            return query;
        }

        String header(String name) {
            return headers.get(name);
        }
    }

    /** A response that has been read completely; {@code status} is 0 if there was none. */
    static final class Response {
        int status;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        String failure = "";

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** The server's side of one connection. */
    static final class Exchange {
        final Socket socket;
        final OutputStream out;

        Exchange(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        void respond(int status, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            whole.write(body);
            out.write(whole.toByteArray());
            out.flush();
        }

        void json(int status, String body) throws IOException {
            respond(status, Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8));
        }

        void raw(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        void chunk(String text) throws IOException {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            whole.write(bytes);
            whole.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.write(whole.toByteArray());
            out.flush();
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    interface Handler {
        /** Handles one request; returns whether the connection stays open. */
        boolean handle(Request request, Exchange exchange) throws Exception;
    }

    static ServerSocket serve(String host, int port, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(host), port), 512);
        start("accept " + host, () -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    start("connection", () -> run(socket, handler));
                } catch (IOException closed) {
                    return;
                }
            }
        });
        return server;
    }

    static Thread start(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void run(Socket socket, Handler handler) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
            Exchange exchange = new Exchange(socket);
            while (true) {
                Request request = readRequest(in);
                if (request == null) return;
                request.peer = socket.getInetAddress().getHostAddress();
                if (!handler.handle(request, exchange)) return;
            }
        } catch (EOFException | SocketException expected) {
            // The other side has closed the connection.
        } catch (Exception exception) {
            if (!(exception instanceof IOException)) exception.printStackTrace();
        }
    }

    private static Request readRequest(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        String[] parts = line.split(" ");
        Request request = new Request();
        request.method = parts[0];
        request.uri = parts[1];
        readHeaders(in, request.headers);
        request.body = readBody(in, request.headers, false);
        return request;
    }

    private static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            if (colon > 0) headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    private static byte[] readBody(InputStream in, Map<String, String> headers, boolean untilClose)
            throws IOException {
        String encoding = headers.get("Transfer-Encoding");
        if (encoding != null && encoding.contains("chunked")) return readChunks(in);
        String length = headers.get("Content-Length");
        if (length != null) {
            byte[] body = in.readNBytes(Integer.parseInt(length));
            if (body.length < Integer.parseInt(length)) throw new EOFException("body cut off");
            return body;
        }
        return untilClose ? in.readAllBytes() : new byte[0];
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("chunk cut off");
            int length = Integer.parseInt(line.split(";")[0].trim(), 16);
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) throw new EOFException("chunk cut off");
            body.write(bytes);
            if (readLine(in) == null) throw new EOFException("chunk cut off");
            if (length == 0) return body.toByteArray();
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            line.write(next);
        }
        return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Sends one request over a new connection, which {@code from} may bind to a local address. */
    static Response call(
            String from, String address, String method, String uri, Map<String, String> headers, byte[] body,
            int timeoutMillis) {
        Response response = new Response();
        String[] target = address.split(":");
        try (Socket socket = new Socket()) {
            if (from != null) socket.bind(new InetSocketAddress(InetAddress.getByName(from), 0));
            socket.connect(new InetSocketAddress(target[0], Integer.parseInt(target[1])), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            StringBuilder head = new StringBuilder(method + " " + uri + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            OutputStream out = socket.getOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String line = readLine(in);
            if (line == null) throw new EOFException("closed without a response");
            int status = Integer.parseInt(line.split(" ")[1]);
            readHeaders(in, response.headers);
            response.body = readBody(in, response.headers, true);
            response.status = status;
        } catch (Exception exception) {
            response.failure = exception.toString();
        }
        return response;
    }
}
