package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Workers start again one after the other, each under its id and at its address, with another software version. */
final class Upgrade extends Case {
    private static final int WORKERS = 6;
    private static final int SLOTS = 8;
    private static final int EVENTS = 60;
    private static final long EVENT_MILLIS = 50;
    private static final long DOWN_MILLIS = 300;
    private static final long PAUSE_MILLIS = 200;
    private static final int STREAMS_PER_NODE = 10;
    private static final int TRIES = 3;
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int ALLOWED = 2;
    private static final String CONFIGURATION = "{\"version\":VERSION,\"routes\":[{\"name\":\"r-advice\",\"host\":\"advice.example\","
        + "\"path_prefix\":\"/advice/\",\"kind\":\"streaming\",\"timeout_ms\":" + TIMEOUT_MILLIS + ",\"target_latency_ms\":300,"
        + "\"priority\":0,\"service\":\"writer\",\"max_attempts\":2,\"public\":true,\"resumable\":true,\"gap_aim_ms\":400}],"
        + "\"services\":[{\"name\":\"writer\",\"health_path\":\"/health\",\"max_conns\":240,\"protocol\":\"h1\",\"tls\":false}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[]}";
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger streams = new AtomicInteger();
    private final AtomicInteger complete = new AtomicInteger();
    private final List<String> joined = new ArrayList<>();
    private volatile boolean isSending = true;

    public static void main(String[] arguments) throws Exception {
        main(new Upgrade(), arguments);
    }

    /** A worker whose process can be started again. */
    private final class Process {
        final String id;
        final String zone;
        final int port;
        private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
        private volatile ServerSocket server;
        private volatile int version;
        private long born;
        private int sequence;

        Process(String id, String zone) throws IOException {
            this.id = id;
            this.zone = zone;
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                port = free.getLocalPort();
            }
            start(1);
            Http.start("beat of " + id, () -> {
                while (true) {
                    pause(1_200);
                    register();
                }
            });
        }

        synchronized void start(int newVersion) throws IOException {
            version = newVersion;
            born = System.currentTimeMillis();
            sequence = 0;
            ServerSocket started = new ServerSocket();
            started.setReuseAddress(true);
            started.bind(new InetSocketAddress("127.0.0.1", port), 128);
            server = started;
            record(id + " starts with version " + version);
            register();
            Http.start("server " + id, () -> {
                while (true) {
                    try {
                        Socket channel = started.accept();
                        channels.add(channel);
                        Http.start("channel", () -> serve(channel, newVersion));
                    } catch (IOException closed) {
                        return;
                    }
                }
            });
        }

        /** Ends as a process does that crashes: its channels are reset. */
        synchronized void crash() throws IOException {
            record(id + " ends");
            server.close();
            server = null;
            for (Socket channel : channels) {
                channel.setSoLinger(true, 0);
                channel.close();
            }
            channels.clear();
        }

        private synchronized void register() {
            if (server == null) return;
            store.put("keyed.servers", id, "{\"service\":\"writer\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                + "\",\"version\":\"" + version + "\",\"slots\":" + SLOTS + ",\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":"
                + ++sequence + ",\"born\":" + born + "}");
        }

        private void serve(Socket channel, int runningVersion) {
            try (channel) {
                channel.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(channel.getInputStream());
                OutputStream out = channel.getOutputStream();
                while (true) {
                    Http.Message request = Http.readHead(in);
                    if (request == null) return;
                    Http.readBody(request, in);
                    String requestId = request.headers.get("X-Poplarshift-Request-Id");
                    String expected = request.headers.get("X-Poplarshift-Expect-Instance");
                    if (expected != null && !expected.equals(id)) {
                        Http.respond(out, 421, "X-Poplarshift-Request-Id: " + requestId + "\r\nX-Poplarshift-Not-Run: 1\r\n", new byte[0]);
                        continue;
                    }
                    if (request.path().equals("/health")) {
                        Http.respond(out, 200, "X-Poplarshift-Instance-Id: " + id + "\r\n", new byte[0]);
                        continue;
                    }
                    String last = request.headers.get("Last-Event-Id");
                    record("run " + requestId + " at " + id + " version " + runningVersion + " after event " + last);
                    write(out, "HTTP/1.1 200 OK\r\nX-Poplarshift-Request-Id: " + requestId + "\r\nX-Poplarshift-Response-Stamp: " + id
                        + "." + requestId + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
                    for (int event = last == null ? 1 : Integer.parseInt(last) + 1; event <= EVENTS; event++) {
                        pause(EVENT_MILLIS);
                        String text = "id: " + event + "\ndata: version " + runningVersion + " event " + event + "\n\n";
                        write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                    }
                    write(out, "0\r\n\r\n");
                }
            } catch (IOException ended) {
                // The node has closed the channel, or the process has ended.
            } finally {
                channels.remove(channel);
            }
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    @Override
    boolean run() throws Exception {
        startFleet(1, CONFIGURATION);
        List<Process> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) workers.add(new Process("i-" + i, zoneNames[i % zoneNames.length]));
        startNodes();
        pause(4_000);
        for (int node = 0; node < nodes.size(); node++) {
            int first = node;
            for (int i = 0; i < STREAMS_PER_NODE; i++) {
                Http.start("client", () -> {
                    pause((long) (Math.random() * EVENTS * EVENT_MILLIS));
                    while (isSending) readStream(first);
                });
            }
        }
        pause(8_000);
        for (Process worker : workers) {
            if (!hasTrouble) break;
            worker.crash();
            pause(DOWN_MILLIS);
            worker.start(2);
            pause(PAUSE_MILLIS);
        }
        pause(12_000);
        isSending = false;
        pause(4_000);
        synchronized (joined) {
            record(streams.get() + " streams, " + complete.get() + " complete; " + joined.size()
                + " hold events of two software versions, at most " + ALLOWED + " may: " + joined);
            return joined.size() <= ALLOWED;
        }
    }

    /** Reads one stream, and takes it up at the next nodes if it breaks off. */
    private void readStream(int firstNode) {
        String firstId = null;
        int lastEvent = 0;
        Set<String> versions = new TreeSet<>();
        streams.incrementAndGet();
        for (int attempt = 0; attempt < TRIES; attempt++) {
            Node node = nodes.get((firstNode + attempt) % nodes.size());
            String id = String.format("%016x", ids.incrementAndGet());
            int before = lastEvent;
            record("sent " + id + " to " + node.name + (lastEvent > 0 ? " after event " + lastEvent + ", resumes " + firstId : ""));
            try (Socket socket = new Socket()) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(2_000);
                socket.connect(new InetSocketAddress(node.host, node.callersPort), 1_000);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                write(socket.getOutputStream(), "POST /advice/1 HTTP/1.1\r\nHost: advice.example\r\nX-Poplarshift-Request-Id: " + id
                    + "\r\nX-Poplarshift-Deadline-Ms: " + TIMEOUT_MILLIS + "\r\nContent-Length: 2\r\n"
                    + (lastEvent > 0 ? "Last-Event-Id: " + lastEvent + "\r\nResumes: " + firstId + "\r\n" : "") + "\r\n{}");
                Http.Message answer = Http.readHead(in);
                if (answer == null) throw new IOException("closed without an answer");
                if (answer.status() != 200) throw new IOException("status " + answer.status());
                while (true) {
                    int size = Integer.parseInt(Http.readLine(in).trim(), 16);
                    String chunk = new String(Http.readFully(in, size), StandardCharsets.US_ASCII);
                    Http.readLine(in);
                    if (size == 0) break;
                    for (String line : chunk.split("\n")) {
                        if (line.startsWith("id: ")) lastEvent = Integer.parseInt(line.substring(4));
                        if (line.startsWith("data: version ")) versions.add(line.split(" ")[2]);
                    }
                    if (firstId == null) firstId = id;
                }
                record("complete " + id);
                complete.incrementAndGet();
                break;
            } catch (IOException | RuntimeException exception) {
                record("broken off " + id + " after event " + lastEvent + " (" + before + " before): " + exception.getMessage());
                pause(100);
            }
        }
        if (versions.size() < 2) return;
        synchronized (joined) {
            joined.add(firstId);
        }
    }
}
