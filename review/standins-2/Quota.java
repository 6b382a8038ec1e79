package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** The operator raises a tenant's burst while the store leaves the calls of one machine without an answer. */
final class Quota extends Case {
    private static final String TENANT = "quilts";
    private static final int RATE = 240;
    private static final int BURST_BEFORE = 5;
    private static final int BURST_AFTER = 15;

    // What the tenant sends to the machine that holds its limit, and to each of the others.
    private static final int SENT_TO_HOLDER_PER_SECOND = 320;
    private static final int SENT_PER_SECOND = 150;
    private static final int CHANNELS = 60;
    private static final int WINDOW_MILLIS = 5_000;
    private static final double OVERAGE = 0.1;
    private static final int SLACK = 20;
    private static final long OUTAGE_MILLIS = 9_000;
    private static final long ANSWER_MILLIS = 30;
    private static final String KEY = "2b9wu3fexd9dnn2ctnfz";
    private static final String CONFIGURATION = "{\"version\":VERSION,\"routes\":[{\"name\":\"r-lookup\",\"host\":\"shop.example\","
        + "\"path_prefix\":\"/lookup/\",\"kind\":\"safe\",\"timeout_ms\":1500,\"target_latency_ms\":386,"
        + "\"priority\":2,\"service\":\"catalogue\",\"max_attempts\":2,\"public\":false}],"
        + "\"services\":[{\"name\":\"catalogue\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[{\"name\":\"" + TENANT + "\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1,\"rate_per_s\":" + RATE
        + ",\"burst\":BURST}]}";

    private static final class Sent {
        final String node;
        final long sentMillis;
        volatile long runMillis = -1;

        Sent(String node, long sentMillis) {
            this.node = node;
            this.sentMillis = sentMillis;
        }
    }

    private final Map<String, Sent> requests = new ConcurrentHashMap<>();
    private final AtomicInteger ids = new AtomicInteger();
    private volatile boolean isSending = true;

    public static void main(String[] arguments) throws Exception {
        main(new Quota(), arguments);
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
        zoneNames = new String[] {"a", "b", "c", "d", "e"};
        startFleet(1, CONFIGURATION.replace("BURST", "" + BURST_BEFORE));
        for (String zone : zoneNames) new Worker(store, "i-" + zone, "catalogue", zone, 16, this::work);
        startNodes();
        Thread.sleep(4_000);
        // The machine of zone e holds the limit while the burst is below six tokens.
        Node holder = nodes.get(4);
        for (Node node : nodes) {
            for (int i = 0; i < CHANNELS; i++) Http.start("client", () -> send(node, node == holder));
        }
        Thread.sleep(8_000);
        if (hasTrouble) {
            CountDownLatch hasBegun = new CountDownLatch(1);
            AtomicLong end = new AtomicLong(Long.MIN_VALUE);
            store.filter = (request, socket) -> {
                if (!socket.getInetAddress().getHostAddress().equals(holder.host)) return null;
                // Begins just after a call of the group has been answered. The next one is due 0.65 s later.
                if (request.path().equals("/-/log-join") && hasBegun.getCount() > 0) {
                    Http.start("outage", () -> {
                        pause(ANSWER_MILLIS);
                        end.set(now() + OUTAGE_MILLIS);
                        hasBegun.countDown();
                    });
                }
                if (now() > end.get()) return null;
                Thread.sleep(Math.max(0, end.get() - now()));
                throw new IOException("the call was lost");
            };
            hasBegun.await();
            record("the store is silent for " + holder.name + " for " + OUTAGE_MILLIS + " ms");
        }
        Thread.sleep(20);
        writeConfiguration(CONFIGURATION.replace("BURST", "" + BURST_AFTER));
        Thread.sleep(OUTAGE_MILLIS + 3_000);
        isSending = false;
        Thread.sleep(500);
        return judge();
    }

    private void send(Node node, boolean isHolder) {
        long intervalMillis = 1_000L * CHANNELS / (isHolder ? SENT_TO_HOLDER_PER_SECOND : SENT_PER_SECOND);
        long next = now() + (long) (Math.random() * intervalMillis);
        while (isSending) {
            try (Socket socket = new Socket()) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(2_000);
                socket.connect(new InetSocketAddress(node.host, node.callersPort), 1_000);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                boolean isOpen = true;
                while (isSending && isOpen) {
                    Thread.sleep(Math.max(0, next - now()));
                    next = Math.max(next + intervalMillis, now());
                    String id = String.format("%016x", ids.incrementAndGet());
                    requests.put(id, new Sent(node.name, now()));
                    out.write(("GET /lookup/" + id + " HTTP/1.1\r\nHost: shop.example\r\nX-Poplarshift-Request-Id: " + id
                        + "\r\nX-Poplarshift-Credential: " + KEY + "\r\nX-Poplarshift-Deadline-Ms: 1500\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                    Http.Message answer = Http.readHead(in);
                    if (answer == null) break;
                    Http.readBody(answer, in);
                    record("sent " + id + " to " + node.name + ": " + answer.status());
                    isOpen = !"close".equalsIgnoreCase(answer.headers.get("Connection"));
                }
            } catch (IOException | InterruptedException exception) {
                record("a channel to " + node.name + " failed: " + exception);
            }
        }
    }

    private boolean work(Worker worker, Http.Message request, InputStream in, OutputStream out) throws Exception {
        String id = request.headers.get("X-Poplarshift-Request-Id");
        Sent sent = requests.get(id);
        if (sent.runMillis < 0) sent.runMillis = now();
        record("run " + id + " of " + request.headers.get("X-Poplarshift-Tenant") + " at " + worker.id);
        Thread.sleep(10);
        Http.respond(out, 200, worker.receipt(id), id.getBytes(StandardCharsets.US_ASCII));
        return true;
    }

    private boolean judge() {
        List<Sent> run = new ArrayList<>();
        for (Sent sent : requests.values()) if (sent.runMillis >= 0) run.add(sent);
        run.sort(Comparator.comparingLong(sent -> sent.sentMillis));
        double bound = (RATE * WINDOW_MILLIS / 1_000.0 + BURST_AFTER) * (1 + OVERAGE) + SLACK;
        int most = 0;
        long start = 0;
        for (int first = 0; first < run.size(); first++) {
            long end = run.get(first).sentMillis + WINDOW_MILLIS;
            int count = 0;
            for (int i = first; i < run.size() && run.get(i).sentMillis <= end; i++) if (run.get(i).runMillis <= end) count++;
            if (count > most) {
                most = count;
                start = run.get(first).sentMillis;
            }
        }
        for (Node node : nodes) {
            StringBuilder seconds = new StringBuilder();
            for (long second = 0; second < now() / 1_000; second++) {
                long from = second * 1_000;
                long count = run.stream()
                    .filter(sent -> sent.node.equals(node.name) && sent.runMillis >= from && sent.runMillis < from + 1_000)
                    .count();
                seconds.append(' ').append(count);
            }
            record("requests of " + node.name + " that ran, by seconds:" + seconds);
        }
        record("most requests in " + WINDOW_MILLIS + " ms: " + most + ", from " + start + " ms on; at most " + bound + " may run");
        return most <= bound;
    }
}
