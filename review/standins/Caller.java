package review;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;

/** A stand-in for a client of the nodes. Each call uses a new channel. */
final class Caller {
    final String host;
    final String key;
    private final Record record;

    Caller(String host, String key, Record record) {
        this.host = host;
        this.key = key;
        this.record = record;
    }

    static String newId() {
        return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
    }

    Http.Response call(Node node, String method, String uri, Map<String, String> more, byte[] body, int timeoutMillis) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", host);
        headers.put("X-Poplarshift-Credential", key);
        headers.putAll(more);
        return Http.call(null, node.callers, method, uri, headers, body, timeoutMillis);
    }

    /** Hands in a submission, up to three times at different nodes, as a client does. Returns the last status. */
    int submit(List<Node> nodes, String id, String path, String items) {
        Http.Response response = null;
        byte[] body = ("{\"items\":[" + items + "]}").getBytes(StandardCharsets.UTF_8);
        for (int attempt = 0; attempt < 3; attempt++) {
            Node node = nodes.get(Math.floorMod(id.hashCode() + attempt, nodes.size()));
            response = call(node, "POST", path, Map.of(
                "X-Poplarshift-Request-Id", id, "Content-Type", "application/json",
                "X-Poplarshift-Deadline-Ms", "4000"), body, 5_500);
            record.line("client: submission " + id + " to " + node.name + " -> " + response.status + " "
                + response.failure);
            if (response.status == 202 || response.status == 400 || response.status == 413) break;
            Fleet.sleep(300);
        }
        return response.status;
    }

    static String item(String id, String path, int events, byte[] body) {
        return "{\"id\":\"" + id + "\",\"path\":\"" + path + "\",\"headers\":{\"X-Poplarshift-Model\":\"m\","
            + "\"X-Poplarshift-Token-Count\":\"350," + events + "\",\"X-Poplarshift-Prompt-Prefix\":\"9c2e41:100,"
            + id.substring(0, 8) + ":250\"},\"body\":\"" + Base64.getEncoder().encodeToString(body)
            + "\",\"tokens\":" + (350 + events) + "}";
    }

    Http.Response results(Node node, String id, int after) {
        return call(node, "GET", "/-/lots/" + id + "?after=" + after, Map.of(), new byte[0], 2_500);
    }

    /** Returns the number of results that {@code node} lists, or -1 if it does not answer with 200. */
    int listed(Node node, String id) {
        Http.Response response = results(node, id, 0);
        if (response.status != 200) {
            record.line("client: results of " + id + " at " + node.name + " -> " + response.status + " "
                + response.failure);
            return -1;
        }
        return (int) Json.number(response.text(), "next");
    }
}
