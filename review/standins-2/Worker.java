package review2;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;

/** A worker that is registered in the store and renews its entry. What it answers is up to the case. */
final class Worker {
    /** Answers a request that has been read. Returns whether the connection stays open. */
    interface Work {
        boolean run(Worker worker, Http.Message request, InputStream in, OutputStream out) throws Exception;
    }

    private static final long BEAT_MILLIS = 1_200;
    final String id;
    final String service;
    private final String zone;
    private final int slots;
    private final ServerSocket server;
    private final long born = System.currentTimeMillis();
    private final Store store;
    private volatile boolean isRegistered = true;
    private int sequence;

    Worker(Store store, String id, String service, String zone, int slots, Work work) throws Exception {
        this(store, id, service, zone, slots, 0, work);
    }

    /** A worker that reads requests at no more than {@code bytesPerMilli} on each channel, unless that is 0. */
    Worker(Store store, String id, String service, String zone, int slots, int bytesPerMilli, Work work)
        throws Exception {
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        server = Http.serve("127.0.0.1", (Http.Message request, Socket socket, InputStream in, OutputStream out) -> {
            String expected = request.headers.get("X-Poplarshift-Expect-Instance");
            String requestId = request.headers.get("X-Poplarshift-Request-Id");
            if (expected != null && !expected.equals(id)) {
                Http.respond(out, 421, head(requestId) + "X-Poplarshift-Not-Run: 1\r\n", new byte[0]);
                return true;
            }
            if (request.path().equals("/health")) {
                Http.respond(out, 200, "X-Poplarshift-Instance-Id: " + id + "\r\n", new byte[0]);
                return true;
            }
            return work.run(this, request, in, out);
        }, bytesPerMilli);
        register();
        Http.start("beat of " + id, this::beat);
    }

    /** The headers that all responses have. */
    String head(String requestId) {
        return requestId == null ? "" : "X-Poplarshift-Request-Id: " + requestId + "\r\n";
    }

    /** The headers of a response to a request that has run. */
    String receipt(String requestId) {
        return head(requestId) + "X-Poplarshift-Response-Stamp: " + id + "." + requestId + "\r\n";
    }

    private void beat() {
        while (isRegistered) {
            try {
                Thread.sleep(BEAT_MILLIS);
            } catch (InterruptedException exception) {
                return;
            }
            register();
        }
    }

    private synchronized void register() {
        if (!isRegistered) return;
        store.put("keyed.servers", id, "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:"
            + server.getLocalPort() + "\",\"zone\":\"" + zone + "\",\"version\":\"1\",\"slots\":" + slots
            + ",\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":" + ++sequence + ",\"born\":" + born + "}");
    }
}
