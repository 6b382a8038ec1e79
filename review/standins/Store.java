package review;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A stand-in for the platform's store, a keyed log with consumer groups, as PROTOCOL.md describes it. */
final class Store {
    static final int PARTS = 8;
    static final int RECORD_BYTES = 262_144;
    static final int CALL_BYTES = 2_097_152;
    private static final long APPEND_MILLIS = 4;
    private static final int PAGE_RECORDS = 500;
    private static final int PAGE_BYTES = 1_000_000;

    private record Entry(long offset, String key, byte[] value, byte[] raw) {}

    private static final class Partition {
        final List<Entry> entries = new ArrayList<>();
        final TreeMap<String, Entry> newest = new TreeMap<>();
    }

    private static final class Member {
        long seenMillis;
        long ttlMillis;
        long generation;
    }

    private final Map<String, Partition> partitions = new HashMap<>();
    private final Map<String, Member> members = new TreeMap<>();
    private final Map<String, String> owners = new LinkedHashMap<>();
    private final Map<String, String> targets = new HashMap<>();
    private final Set<String> down = new HashSet<>();
    private long generation = 1;
    final Record record;

    Store(Record record) {
        this.record = record;
    }

    void start(String host, int port) throws Exception {
        Http.serve(host, port, this::handle);
    }

    /** While a partition is down, its calls are answered with 503 and nothing is done. */
    synchronized void setDown(Set<String> topicsAndParts) {
        down.clear();
        down.addAll(topicsAndParts);
        notifyAll();
    }

    /** Writes a record as the operator or a server would. An empty value drops the key. */
    synchronized void put(String topic, String key, String value) {
        byte[] text = value.getBytes(StandardCharsets.UTF_8);
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] raw = new byte[1 + name.length + text.length];
        raw[0] = (byte) name.length;
        System.arraycopy(name, 0, raw, 1, name.length);
        System.arraycopy(text, 0, raw, 1 + name.length, text.length);
        append(partition(topic, 0), raw);
        notifyAll();
    }

    private Partition partition(String topic, int part) {
        return partitions.computeIfAbsent(topic + "/" + part, name -> new Partition());
    }

    private void append(Partition partition, byte[] raw) {
        int keyBytes = raw.length == 0 ? 0 : raw[0] & 0xff;
        String key = raw.length == 0 ? "" : new String(raw, 1, keyBytes, StandardCharsets.UTF_8);
        byte[] value = raw.length == 0 ? raw : java.util.Arrays.copyOfRange(raw, 1 + keyBytes, raw.length);
        Entry entry = new Entry(partition.entries.size(), key, value, raw);
        partition.entries.add(entry);
        if (value.length == 0) partition.newest.remove(key);
        else partition.newest.put(key, entry);
    }

    private boolean handle(Http.Request request, Http.Exchange exchange) throws Exception {
        Map<String, String> query = request.query();
        String part = query.get("topic") + "/" + query.getOrDefault("part", "0");
        if (isDown(part)) {
            exchange.json(503, "{}");
            return true;
        }
        switch (request.path()) {
            case "/-/log-append" -> handleAppend(request, exchange, query);
            case "/-/log-read" -> handleRead(exchange, query, part);
            case "/-/log-newest" -> handleNewest(exchange, query);
            case "/-/log-join" -> exchange.json(200, join(new String(request.body, StandardCharsets.UTF_8)));
            case "/-/log-leave" -> {
                leave(Json.text(new String(request.body, StandardCharsets.UTF_8), "member"));
                exchange.json(200, "{}");
            }
            default -> exchange.json(404, "{}");
        }
        return true;
    }

    private synchronized boolean isDown(String part) {
        return down.contains(part);
    }

    private void handleAppend(Http.Request request, Http.Exchange exchange, Map<String, String> query)
            throws Exception {
        String topic = query.get("topic");
        if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
            exchange.json(403, "{}");
            return;
        }
        List<byte[]> records = new ArrayList<>();
        ByteBuffer body = ByteBuffer.wrap(request.body);
        int total = 0;
        while (body.remaining() >= 4) {
            byte[] raw = new byte[body.getInt()];
            body.get(raw);
            records.add(raw);
            total += raw.length;
            if (raw.length > RECORD_BYTES) throw new IllegalStateException("record too large");
        }
        if (total > CALL_BYTES) throw new IllegalStateException("call too large");
        Thread.sleep(APPEND_MILLIS);
        long first;
        long end;
        synchronized (this) {
            Partition partition = partition(topic, Integer.parseInt(query.get("part")));
            first = partition.entries.size();
            records.forEach(raw -> append(partition, raw));
            end = partition.entries.size();
            notifyAll();
        }
        exchange.json(200, "{\"offset\":" + first + ",\"end\":" + end + "}");
    }

    private void handleRead(Http.Exchange exchange, Map<String, String> query, String part) throws Exception {
        long from = Long.parseLong(query.get("from"));
        long waitMillis = Long.parseLong(query.getOrDefault("wait_ms", "0"));
        int maximum = Integer.parseInt(query.getOrDefault("max_kb", "1024")) * 1024;
        long untilMillis = System.currentTimeMillis() + waitMillis;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        boolean isDown = false;
        synchronized (this) {
            Partition partition = partition(query.get("topic"), Integer.parseInt(query.get("part")));
            while (partition.entries.size() <= from && !down.contains(part)) {
                long leftMillis = untilMillis - System.currentTimeMillis();
                if (leftMillis <= 0) break;
                wait(leftMillis);
            }
            isDown = down.contains(part);
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(partition.entries.size());
            out.writeLong(0);
            for (long next = from; next < partition.entries.size(); next++) {
                byte[] raw = partition.entries.get((int) next).raw();
                if (next > from && bytes.size() + raw.length > maximum) break;
                out.writeInt(raw.length);
                out.write(raw);
            }
        }
        if (isDown) exchange.json(503, "{}");
        else exchange.respond(200, Map.of("Content-Type", "application/octet-stream"), bytes.toByteArray());
    }

    private void handleNewest(Http.Exchange exchange, Map<String, String> query) throws Exception {
        StringBuilder items = new StringBuilder();
        boolean more = false;
        long end;
        synchronized (this) {
            Partition partition = partition(query.get("topic"), Integer.parseInt(query.get("part")));
            String after = query.get("after");
            Iterable<Entry> entries =
                after == null ? partition.newest.values() : partition.newest.tailMap(after, false).values();
            int count = 0;
            int bytes = 0;
            for (Entry entry : entries) {
                if (count > 0 && (count >= PAGE_RECORDS || bytes + entry.value().length > PAGE_BYTES)) {
                    more = true;
                    break;
                }
                if (count++ > 0) items.append(',');
                bytes += entry.value().length;
                items.append("{\"key\":\"").append(entry.key()).append("\",\"value\":\"")
                    .append(Base64.getEncoder().encodeToString(entry.value()))
                    .append("\",\"offset\":").append(entry.offset()).append('}');
            }
            end = partition.entries.size();
        }
        exchange.json(200, "{\"items\":[" + items + "],\"more\":" + more + ",\"end\":" + end + "}");
    }

    private synchronized String join(String body) {
        long now = System.currentTimeMillis();
        expire(now);
        String name = Json.text(body, "member");
        Member member = members.get(name);
        if (member == null) {
            member = new Member();
            members.put(name, member);
            for (String topic : Json.texts(body, "topics")) {
                for (int part = 0; part < PARTS; part++) owners.putIfAbsent(topic + " " + part, "");
            }
            distribute();
        }
        member.seenMillis = now;
        member.ttlMillis = Json.number(body, "ttl_ms");
        member.generation = Json.number(body, "generation");
        StringBuilder rows = new StringBuilder();
        for (String part : owners.keySet()) {
            String target = targets.get(part);
            Member owner = members.get(owners.get(part));
            boolean isReleased = owner == null || (owner.generation >= generation && !owners.get(part).equals(target));
            if (isReleased) owners.put(part, target);
            if (!owners.get(part).equals(name) || !name.equals(target)) continue;
            String[] fields = part.split(" ");
            if (rows.length() > 0) rows.append(',');
            rows.append("[\"").append(fields[0]).append("\",").append(fields[1]).append(",0]");
        }
        return "{\"generation\":" + generation + ",\"ttl_ms\":" + member.ttlMillis + ",\"parts\":[" + rows + "]}";
    }

    private synchronized void leave(String name) {
        if (members.remove(name) != null) distribute();
    }

    private void expire(long now) {
        if (members.values().removeIf(member -> now - member.seenMillis > member.ttlMillis)) distribute();
    }

    // Keeps a partition where it is unless its member is gone or has more than its share.
    private void distribute() {
        generation++;
        if (members.isEmpty()) return;
        Map<String, Integer> counts = new TreeMap<>();
        members.keySet().forEach(name -> counts.put(name, 0));
        int limit = (owners.size() + members.size() - 1) / members.size();
        List<String> open = new ArrayList<>();
        for (String part : owners.keySet()) {
            String target = targets.get(part);
            if (target != null && counts.containsKey(target) && counts.get(target) < limit) {
                counts.merge(target, 1, Integer::sum);
            } else {
                open.add(part);
            }
        }
        for (String part : open) {
            String least = null;
            for (String name : counts.keySet()) {
                if (least == null || counts.get(name) < counts.get(least)) least = name;
            }
            targets.put(part, least);
            counts.merge(least, 1, Integer::sum);
        }
    }
}
