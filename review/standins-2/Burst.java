package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;

/** The uploads at one machine come six times as often for three seconds. */
final class Burst extends Case {
    private static final int TENANTS = 4;
    private static final int BODY_BYTES = 440_000;
    private static final int WORK_MILLIS = 3_000;
    private static final int READ_MILLIS = 1_500;
    private static final int READERS = 8;
    private static final long UPLOAD_INTERVAL_MILLIS = 250;
    private static final int BURST = 6;
    private static final long BURST_MILLIS = 3_000;
    private static final int TIMEOUT_MILLIS = 8_000;
    private static final int ALLOWED = 3;
    private static final String ROUTE = "{\"name\":\"r-docs\",\"host\":\"docs.example\",\"path_prefix\":\"/docs/\",\"kind\":\"safe\","
        + "\"timeout_ms\":" + TIMEOUT_MILLIS + ",\"target_latency_ms\":4000,\"priority\":0,\"service\":\"docs\",\"max_attempts\":2,"
        + "\"public\":false}";
    private static final String LIMITS = "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";
    private static final String SERVICE =
        "{\"name\":\"docs\",\"health_path\":\"/health\",\"max_conns\":240,\"protocol\":\"h1\",\"tls\":false}";

    /** A channel of a client that has carried a request before. */
    private static final class Channel {
        final Node node;
        final int tenant;
        final Socket socket = new Socket();
        InputStream in;
        OutputStream out;

        Channel(Node node, int tenant) {
            this.node = node;
            this.tenant = tenant;
        }
    }

    /** What became of a request. */
    private static final class Request {
        volatile String worker;
        volatile int status;
        volatile String failure;
    }

    private final Map<String, Request> requests = new ConcurrentHashMap<>();
    private final Map<String, ConcurrentLinkedDeque<Channel>> idle = new ConcurrentHashMap<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger open = new AtomicInteger();
    private volatile boolean isSending = true;

    public static void main(String[] arguments) throws Exception {
        main(new Burst(), arguments);
    }

    @Override
    boolean run() throws Exception {
        StringBuilder tenants = new StringBuilder();
        for (int i = 0; i < TENANTS; i++) {
            tenants.append(i == 0 ? "" : ",").append("{\"name\":\"t").append(i).append("\",\"api_keys\":[\"").append(key(i))
                .append("\"],\"priority\":1,\"rate_per_s\":0,\"burst\":0}");
        }
        startFleet(1, "{\"version\":VERSION,\"routes\":[" + ROUTE + "],\"services\":[" + SERVICE + "]," + LIMITS
            + ",\"tenants\":[" + tenants + "]}");
        for (String zone : zoneNames) new Worker(store, "i-" + zone, "docs", zone, 32, this::work);
        startNodes();
        Thread.sleep(4_000);
        for (Node node : nodes) {
            Http.start("uploads", () -> upload(node, UPLOAD_INTERVAL_MILLIS, Long.MAX_VALUE));
            for (int i = 0; i < READERS; i++) {
                int tenant = i % TENANTS;
                Http.start("reader", () -> readAgain(node, tenant));
            }
        }
        Thread.sleep(8_000);
        if (hasTrouble) {
            record("burst: uploads come " + BURST + " times as often at " + nodes.get(0).name + " for " + BURST_MILLIS + " ms");
            upload(nodes.get(0), UPLOAD_INTERVAL_MILLIS / (BURST - 1), now() + BURST_MILLIS);
            record("the burst is over");
        }
        Thread.sleep(6_000);
        isSending = false;
        Thread.sleep(5_000);
        return judge();
    }

    private static String key(int tenant) {
        return "2b9wu3fexd9dnn2ctnf" + tenant;
    }

    /** Sends uploads in regular intervals, each on a kept channel. */
    private void upload(Node node, long intervalMillis, long endMillis) {
        long next = now();
        int count = 0;
        while (isSending && next < endMillis) {
            sleepUntil(next);
            next += intervalMillis;
            int tenant = count++ % TENANTS;
            Http.start("upload", () -> sendOnKept(node, tenant, "POST", BODY_BYTES));
        }
    }

    private void readAgain(Node node, int tenant) {
        while (isSending) sendOnKept(node, tenant, "GET", 0);
    }

    private static void sleepUntil(long millis) {
        try {
            Thread.sleep(Math.max(0, millis - now()));
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private void sendOnKept(Node node, int tenant, String method, int bodyBytes) {
        ConcurrentLinkedDeque<Channel> kept = idle.computeIfAbsent(node.name + tenant, name -> new ConcurrentLinkedDeque<>());
        Channel channel = kept.pollFirst();
        // A channel that was closed while idle may be replaced, as the request has not been passed on.
        for (int attempt = 0; attempt < 2; attempt++) {
            if (channel == null) channel = openAndUse(node, tenant);
            if (channel == null) return;
            String id = send(channel, method, "/docs/" + method, bodyBytes);
            Request request = requests.get(id);
            if (request.failure == null) {
                kept.addFirst(channel);
                return;
            }
            close(channel);
            channel = null;
            if (request.worker != null) return;
        }
    }

    private Channel openAndUse(Node node, int tenant) {
        Channel channel = new Channel(node, tenant);
        try {
            channel.socket.setTcpNoDelay(true);
            channel.socket.setSoTimeout(TIMEOUT_MILLIS + 1_000);
            channel.socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.2." + (1 + tenant)), 0));
            channel.socket.connect(new InetSocketAddress(node.host, node.callersPort), 1_000);
            channel.in = new BufferedInputStream(channel.socket.getInputStream());
            channel.out = channel.socket.getOutputStream();
        } catch (IOException exception) {
            record("no channel to " + node.name + ": " + exception);
            return null;
        }
        String id = send(channel, "GET", "/docs/first", 0);
        return requests.get(id).failure == null ? channel : null;
    }

    private static void close(Channel channel) {
        try {
            channel.socket.close();
        } catch (IOException exception) {
            record("closing a channel failed: " + exception);
        }
    }

    private String send(Channel channel, String method, String path, int bodyBytes) {
        String id = String.format("%016x", ids.incrementAndGet());
        Request request = new Request();
        requests.put(id, request);
        String text = method + " " + path + " HTTP/1.1\r\nHost: docs.example\r\nX-Poplarshift-Request-Id: " + id
            + "\r\nX-Poplarshift-Credential: " + key(channel.tenant) + "\r\nX-Poplarshift-Deadline-Ms: " + TIMEOUT_MILLIS
            + "\r\n" + (bodyBytes > 0 ? "Content-Length: " + bodyBytes + "\r\n" : "") + "\r\n";
        record("sent " + id + " " + method + " " + path + " to " + channel.node.name + " by t" + channel.tenant);
        open.incrementAndGet();
        try {
            channel.out.write(text.getBytes(StandardCharsets.US_ASCII));
            channel.out.write(new byte[bodyBytes]);
            channel.out.flush();
            Http.Message answer = Http.readHead(channel.in);
            if (answer == null) throw new IOException("the channel was closed without an answer");
            Http.readBody(answer, channel.in);
            request.status = answer.status();
            if ("close".equalsIgnoreCase(answer.headers.get("Connection"))) request.failure = "Connection: close";
            record("answered " + id + ": " + request.status);
        } catch (IOException exception) {
            request.failure = exception.getMessage();
            record("not answered " + id + ": " + exception.getMessage());
        }
        open.decrementAndGet();
        return id;
    }

    private boolean work(Worker worker, Http.Message message, InputStream in, OutputStream out) throws Exception {
        String id = message.headers.get("X-Poplarshift-Request-Id");
        requests.get(id).worker = worker.id;
        record("run " + id + " at " + worker.id + ", " + message.body.length + " bytes");
        if (message.method().equals("POST")) Thread.sleep(WORK_MILLIS);
        else Thread.sleep(message.path().endsWith("first") ? 5 : READ_MILLIS);
        Http.respond(out, 200, worker.receipt(id), id.getBytes(StandardCharsets.US_ASCII));
        return true;
    }

    private boolean judge() {
        List<String> lost = new ArrayList<>();
        int refused = 0;
        for (Map.Entry<String, Request> entry : requests.entrySet()) {
            Request request = entry.getValue();
            if (request.status != 0 && request.status != 200) refused++;
            if (request.worker != null && request.status == 0 && request.failure != null) lost.add(entry.getKey());
        }
        record(requests.size() + " requests, " + refused + " answered with another status than 200");
        record("channels closed without an answer after the request had reached a worker: " + lost.size() + " " + lost);
        record("at most " + ALLOWED + " are allowed");
        return lost.size() <= ALLOWED;
    }
}
