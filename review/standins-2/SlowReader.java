package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A node gets SIGTERM while a client is reading an answer that the worker has finished. */
final class SlowReader extends Case {
    private static final int BODY_BYTES = 8_000_000;
    private static final int READ_BYTES = 4_096;
    private static final int RECEIVE_BUFFER_BYTES = 8_192;
    private static final long READ_BYTES_PER_MILLI = 1_300;
    private static final int TIMEOUT_MILLIS = 9_000;
    private static final String CONFIGURATION = "{\"version\":VERSION,\"routes\":[{\"name\":\"r-files\",\"host\":\"files.example\","
        + "\"path_prefix\":\"/files/\",\"kind\":\"safe\",\"timeout_ms\":" + TIMEOUT_MILLIS + ",\"target_latency_ms\":1000,"
        + "\"priority\":0,\"service\":\"files\",\"max_attempts\":2,\"public\":true}],"
        + "\"services\":[{\"name\":\"files\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[]}";

    public static void main(String[] arguments) throws Exception {
        main(new SlowReader(), arguments);
    }

    @Override
    boolean run() throws Exception {
        startFleet(1, CONFIGURATION);
        for (String zone : zoneNames) new Worker(store, "i-" + zone, "files", zone, 6, SlowReader::work);
        startNodes();
        // Longer than stable_ms, so that the start of the nodes is no disturbance of the request.
        Thread.sleep(4_000);
        Node node = nodes.get(0);
        long sent = now();
        int read = 0;
        int status = 0;
        int stated = -1;
        String end = "complete";
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.connect(new InetSocketAddress(node.host, node.callersPort), 1_000);
            OutputStream out = socket.getOutputStream();
            out.write(("GET /files/1 HTTP/1.1\r\nHost: files.example\r\nX-Poplarshift-Request-Id: 9c41d07be2a35f68\r\n"
                + "X-Poplarshift-Deadline-Ms: " + TIMEOUT_MILLIS + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            record("request 9c41d07be2a35f68 is sent to " + node.name);
            InputStream in = socket.getInputStream();
            Http.Message head = Http.readHead(in);
            status = head.status();
            stated = Integer.parseInt(head.headers.get("Content-Length"));
            record("answer begins: " + status + ", " + stated + " bytes, receipt "
                + head.headers.get("X-Poplarshift-Response-Stamp"));
            if (hasTrouble) {
                node.signal("TERM");
                record("SIGTERM is sent to " + node.name);
                long killed = now() + 8_000;
                Http.start("grace", () -> {
                    try {
                        boolean hasEnded = node.awaitExit(killed - now());
                        record(hasEnded ? node.name + " has ended" : "grace_s is over, SIGKILL");
                        if (!hasEnded) node.kill();
                    } catch (InterruptedException ignored) {
                        // The case has ended.
                    }
                });
            }
            long begun = now();
            byte[] buffer = new byte[READ_BYTES];
            while (read < stated) {
                int count = in.read(buffer);
                if (count < 0) {
                    end = "the channel ended";
                    break;
                }
                for (int i = 0; i < count; i++) {
                    if (buffer[i] != content(read + i)) throw new IOException("wrong byte " + (read + i));
                }
                read += count;
                Thread.sleep(Math.max(0, begun + read / READ_BYTES_PER_MILLI - now()));
            }
        } catch (IOException exception) {
            end = exception.toString();
        }
        long millis = now() - sent;
        record("answer ends after " + read + " of " + stated + " bytes, " + millis + " ms after the request: " + end);
        if (millis >= TIMEOUT_MILLIS) throw new IOException("the client has reached its deadline");
        return status == 200 && read == stated;
    }

    private static byte content(int position) {
        return (byte) (position % 251);
    }

    private static boolean work(Worker worker, Http.Message request, InputStream in, OutputStream out) throws Exception {
        String id = request.headers.get("X-Poplarshift-Request-Id");
        byte[] body = new byte[BODY_BYTES];
        for (int i = 0; i < body.length; i++) body[i] = content(i);
        record("worker " + worker.id + " runs request " + id);
        Http.respond(out, 200, worker.receipt(id) + "Content-Type: application/octet-stream\r\n", body);
        record("worker " + worker.id + " has sent the whole answer to request " + id);
        return true;
    }
}
