package review;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A stand-in for a worker: a model engine that streams events, or a plain service. */
final class Worker {
    private static final long HEARTBEAT_MILLIS = 1_200;

    final String id;
    final String service;
    final String address;
    private final String zone;
    private final int slots;
    private final Store store;
    private final Record record;
    private final ServerSocket server;
    private final long bornMillis = System.currentTimeMillis();
    private final Set<Http.Exchange> exchanges = ConcurrentHashMap.newKeySet();
    private final AtomicLong sequence = new AtomicLong();
    final AtomicInteger running = new AtomicInteger();
    final AtomicInteger started = new AtomicInteger();
    volatile long eventMillis = 20;
    volatile long plainMillis = 20;
    /** Until this time of the record, a request for tokens gets a head and then {@link #garbage} without end. */
    volatile long troubledUntilMillis;
    volatile String garbage = "";
    volatile long garbagePauseMillis;
    /** Bytes sent in such responses. */
    final AtomicLong endlessBytes = new AtomicLong();
    volatile boolean isRecordingRuns = true;
    private volatile String state = "ready";
    private volatile boolean isGone;

    Worker(String id, String service, String zone, int slots, String host, Store store) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.store = store;
        this.record = store.record;
        int port = Fleet.freePort(host);
        this.address = host + ":" + port;
        this.server = Http.serve(host, port, this::handle);
        Http.start("heartbeat " + id, this::beat);
    }

    private void beat() {
        while (!isGone) {
            register();
            Fleet.sleep(HEARTBEAT_MILLIS);
        }
    }

    private synchronized void register() {
        if (isGone) return;
        store.put("keyed.servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\""
            + zone + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
            + "\",\"cold_left_ms\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
            + "\"seq\":" + sequence.incrementAndGet() + ",\"born\":" + bornMillis + "}");
    }

    /** A planned shutdown: reports draining, serves for {@code drainMillis} and until idle, then leaves. */
    void drainAndLeave(long drainMillis) {
        state = "draining";
        register();
        record.line("worker " + id + " of " + service + " reports draining");
        Http.start("leave " + id, () -> {
            Fleet.sleep(drainMillis + 500);
            while (running.get() > 0) Fleet.sleep(20);
            synchronized (this) {
                isGone = true;
                store.put("keyed.servers", id, "");
            }
            try {
                server.close();
            } catch (IOException exception) {
                throw new IllegalStateException(exception);
            }
            record.line("worker " + id + " of " + service + " has left");
        });
    }

    /** Crashes for good: all channels are reset, and the entry is removed after three missing status reports. */
    void crash() throws IOException {
        isGone = true;
        record.line("worker " + id + " of " + service + " has crashed for good");
        server.close();
        for (Http.Exchange exchange : exchanges) exchange.reset();
        Http.start("expiry " + id, () -> {
            Fleet.sleep(3 * HEARTBEAT_MILLIS);
            store.put("keyed.servers", id, "");
        });
    }

    private boolean handle(Http.Request request, Http.Exchange exchange) throws Exception {
        exchanges.add(exchange);
        String requestId = request.header("X-Poplarshift-Request-Id");
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Poplarshift-Instance-Id", id);
        if (requestId != null) headers.put("X-Poplarshift-Request-Id", requestId);
        headers.put("X-Poplarshift-Server-Load", running.get() + ",0," + slots);
        String expected = request.header("X-Poplarshift-Expect-Instance");
        if (isGone || (expected != null && !expected.equals(id))) {
            headers.put("X-Poplarshift-Not-Run", "1");
            exchange.respond(421, headers, new byte[0]);
            return true;
        }
        if (requestId == null) {
            headers.put("X-Poplarshift-Not-Run", "1");
            exchange.respond(request.path().equals("/health") ? 200 : 400, headers, new byte[0]);
            return true;
        }
        if (running.incrementAndGet() > slots) {
            running.decrementAndGet();
            headers.put("X-Poplarshift-Not-Run", "1");
            exchange.respond(503, headers, new byte[0]);
            return true;
        }
        started.incrementAndGet();
        String run = requestId + " of " + request.header("X-Poplarshift-Tenant") + " from " + request.peer;
        if (isRecordingRuns) record.line("worker " + id + " begins " + run);
        try {
            headers.put("X-Poplarshift-Response-Stamp", "3e1b.07.5a2.600.0." + Integer.toHexString(run.hashCode()));
            boolean isOpen = run(request, exchange, headers, requestId);
            if (isRecordingRuns) record.line("worker " + id + " has answered " + requestId);
            return isOpen;
        } catch (IOException closed) {
            record.line("worker " + id + " stops " + requestId + ": channel closed");
            throw closed;
        } finally {
            running.decrementAndGet();
        }
    }

    // The worker does not run the request, so it holds no slot.
    private void sendWithoutEnd(Http.Exchange exchange, String requestId) throws Exception {
        record.line("worker " + id + " sends bytes without end to " + requestId);
        running.decrementAndGet();
        try {
            while (!isGone) {
                exchange.chunk(garbage);
                endlessBytes.addAndGet(garbage.length());
                Thread.sleep(garbagePauseMillis);
            }
        } finally {
            running.incrementAndGet();
        }
    }

    private boolean run(Http.Request request, Http.Exchange exchange, Map<String, String> headers, String requestId)
            throws Exception {
        String tokens = request.header("X-Poplarshift-Token-Count");
        if (tokens == null) {
            Thread.sleep(plainMillis);
            exchange.respond(200, headers, ("answer to " + requestId).getBytes());
            return true;
        }
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        exchange.raw(head + "Transfer-Encoding: chunked\r\n\r\n");
        if (record.millis() < troubledUntilMillis) {
            sendWithoutEnd(exchange, requestId);
        }
        int events = Integer.parseInt(tokens.split(",")[1].trim());
        String last = request.header("Last-Event-Id");
        for (int event = last == null ? 1 : Integer.parseInt(last) + 1; event <= events; event++) {
            Thread.sleep(eventMillis);
            exchange.chunk("id: " + event + "\ndata: " + requestId + "-" + event + "\n\n");
        }
        exchange.raw("0\r\n\r\n");
        return true;
    }
}
