package review2;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: a keyed log and consumer groups, as PROTOCOL.md describes them. */
final class Store {
    /** Decides what happens to a call before it is executed. Returns null to execute it, or the status to answer with. */
    interface Filter {
        Integer before(Http.Message request, Socket socket) throws Exception;
    }

    private record Entry(String key, byte[] value) {}

    private static final class Partition {
        final List<Entry> entries = new ArrayList<>();
        final TreeMap<String, Integer> newest = new TreeMap<>();
    }

    private static final class Group {
        final Map<String, Long> memberUntil = new TreeMap<>();
        final Map<String, String> owners = new TreeMap<>();
        final Map<String, String> targets = new TreeMap<>();
        long generation = 1;
    }

    private static final int PARTS = 8;
    private static final long APPEND_MILLIS = 4;
    private final Map<String, Partition> partitions = new HashMap<>();
    private final Map<String, Group> groups = new HashMap<>();
    private final ServerSocket server;
    volatile Filter filter = (request, socket) -> null;

    Store() throws IOException {
        server = Http.serve("127.0.0.1", this::handle);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Writes the newest record of a key, as the operator and the workers do. */
    void put(String topic, String key, String value) {
        synchronized (this) {
            append(topic + "/0", key, value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8));
            notifyAll();
        }
    }

    private void append(String partition, String key, byte[] value) {
        Partition to = partitions.computeIfAbsent(partition, name -> new Partition());
        to.entries.add(new Entry(key, value));
        if (value.length == 0) to.newest.remove(key);
        else to.newest.put(key, to.entries.size() - 1);
    }

    private boolean handle(Http.Message request, Socket socket, InputStream in, OutputStream out) throws Exception {
        Integer refused = filter.before(request, socket);
        if (refused != null) {
            Http.respond(out, refused, "", new byte[0]);
            return true;
        }
        switch (request.path()) {
            case "/-/log-append": return onAppend(request, out);
            case "/-/log-read": return onRead(request, socket, out);
            case "/-/log-newest": return onNewest(request, out);
            case "/-/log-join": return onJoin(request, out);
            case "/-/log-leave": return onLeave(request, out);
            default:
                Http.respond(out, 404, "", new byte[0]);
                return true;
        }
    }

    private static String partitionOf(Http.Message request) {
        return request.query("topic") + "/" + request.query("part");
    }

    private boolean onAppend(Http.Message request, OutputStream out) throws Exception {
        Thread.sleep(APPEND_MILLIS);
        int status = 200;
        String answer;
        synchronized (this) {
            Partition to = partitions.computeIfAbsent(partitionOf(request), name -> new Partition());
            int offset = to.entries.size();
            String at = request.query("at");
            if (at != null && Integer.parseInt(at) != offset) {
                status = 412;
            } else {
                ByteBuffer records = ByteBuffer.wrap(request.body);
                while (records.hasRemaining()) {
                    byte[] record = new byte[records.getInt()];
                    records.get(record);
                    int keyBytes = record[0] & 0xff;
                    String key = new String(record, 1, keyBytes, StandardCharsets.UTF_8);
                    append(partitionOf(request), key, java.util.Arrays.copyOfRange(record, 1 + keyBytes, record.length));
                }
                notifyAll();
            }
            answer = "{\"offset\":" + offset + ",\"end\":" + to.entries.size() + "}";
        }
        Http.respond(out, status, "Content-Type: application/json\r\n", answer.getBytes(StandardCharsets.UTF_8));
        return true;
    }

    private boolean onRead(Http.Message request, Socket socket, OutputStream out) throws Exception {
        int from = Integer.parseInt(request.query("from"));
        String wait = request.query("wait_ms");
        String limit = request.query("max_kb");
        long endMillis = System.currentTimeMillis() + (wait == null ? 0 : Long.parseLong(wait));
        int maximumBytes = 1024 * (limit == null ? 1024 : Integer.parseInt(limit));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream answer = new DataOutputStream(bytes);
        synchronized (this) {
            Partition of = partitions.computeIfAbsent(partitionOf(request), name -> new Partition());
            while (of.entries.size() <= from) {
                long remaining = endMillis - System.currentTimeMillis();
                if (remaining <= 0) break;
                wait(remaining);
            }
            answer.writeLong(of.entries.size());
            answer.writeLong(0);
            for (int i = from; i < of.entries.size() && (i == from || bytes.size() < maximumBytes); i++) {
                Entry entry = of.entries.get(i);
                byte[] key = entry.key.getBytes(StandardCharsets.UTF_8);
                answer.writeInt(1 + key.length + entry.value.length);
                answer.writeByte(key.length);
                answer.write(key);
                answer.write(entry.value);
            }
        }
        // A disturbance that began while the call waited takes its answer too.
        filter.before(request, socket);
        Http.respond(out, 200, "Content-Type: application/octet-stream\r\n", bytes.toByteArray());
        return true;
    }

    private boolean onNewest(Http.Message request, OutputStream out) throws Exception {
        String after = request.query("after");
        StringBuilder answer = new StringBuilder("{\"items\":[");
        synchronized (this) {
            Partition of = partitions.computeIfAbsent(partitionOf(request), name -> new Partition());
            Map<String, Integer> rest = after == null ? of.newest : of.newest.tailMap(after, false);
            int count = 0;
            boolean more = false;
            for (Map.Entry<String, Integer> key : rest.entrySet()) {
                if (count == 500 || answer.length() > 1_000_000) {
                    more = true;
                    break;
                }
                byte[] value = of.entries.get(key.getValue()).value;
                answer.append(count++ == 0 ? "" : ",").append("{\"key\":").append(Json.quote(key.getKey()))
                    .append(",\"value\":\"").append(Base64.getEncoder().encodeToString(value))
                    .append("\",\"offset\":").append(key.getValue()).append('}');
            }
            answer.append("],\"more\":").append(more).append(",\"end\":").append(of.entries.size()).append('}');
        }
        byte[] body = answer.toString().getBytes(StandardCharsets.UTF_8);
        Http.respond(out, 200, "Content-Type: application/json\r\n", body);
        return true;
    }

    @SuppressWarnings("unchecked")
    private boolean onJoin(Http.Message request, OutputStream out) throws Exception {
        Map<String, Object> call = (Map<String, Object>) Json.parse(new String(request.body, StandardCharsets.UTF_8));
        String member = (String) call.get("member");
        StringBuilder parts = new StringBuilder();
        long generation;
        synchronized (this) {
            Group group = groups.computeIfAbsent((String) call.get("group"), name -> new Group());
            long now = System.currentTimeMillis();
            for (Object topic : (List<Object>) call.get("topics")) {
                for (int part = 0; part < PARTS; part++) group.owners.putIfAbsent(topic + "/" + part, "");
            }
            boolean changed = group.memberUntil.values().removeIf(until -> until < now);
            changed |= group.memberUntil.put(member, now + ((Double) call.get("ttl_ms")).longValue()) == null;
            if (changed || group.targets.size() < group.owners.size()) rebalance(group);
            boolean hasSeen = ((Double) call.get("generation")).longValue() >= group.generation;
            for (Map.Entry<String, String> owned : group.owners.entrySet()) {
                boolean isFree = !group.memberUntil.containsKey(owned.getValue());
                boolean isReturned = owned.getValue().equals(member) && hasSeen;
                if (isFree || isReturned) owned.setValue(group.targets.get(owned.getKey()));
                if (!owned.getValue().equals(member) || !group.targets.get(owned.getKey()).equals(member)) continue;
                String[] place = owned.getKey().split("/");
                parts.append(parts.length() == 0 ? "" : ",")
                    .append("[\"").append(place[0]).append("\",").append(place[1]).append(",0]");
            }
            generation = group.generation;
        }
        String answer = "{\"generation\":" + generation + ",\"parts\":[" + parts + "]}";
        Http.respond(out, 200, "Content-Type: application/json\r\n", answer.getBytes(StandardCharsets.UTF_8));
        return true;
    }

    private static void rebalance(Group group) {
        group.generation++;
        List<String> members = new ArrayList<>(group.memberUntil.keySet());
        int index = 0;
        for (String partition : group.owners.keySet()) group.targets.put(partition, members.get(index++ % members.size()));
    }

    @SuppressWarnings("unchecked")
    private boolean onLeave(Http.Message request, OutputStream out) throws Exception {
        Map<String, Object> call = (Map<String, Object>) Json.parse(new String(request.body, StandardCharsets.UTF_8));
        synchronized (this) {
            Group group = groups.get(call.get("group"));
            if (group != null && group.memberUntil.remove(call.get("member")) != null && !group.memberUntil.isEmpty()) {
                rebalance(group);
            }
        }
        Http.respond(out, 200, "Content-Type: application/json\r\n", "{}".getBytes(StandardCharsets.UTF_8));
        return true;
    }
}
