package review;

import java.util.ArrayList;
import java.util.List;

/** Builds the operator's configuration of a small deployment. */
final class Configuration {
    static final String HOST = "ficu95.example";
    static final String SERVICE = "huvo11a";
    static final int LARGEST_BODY = 4_194_304;
    static final int WAITING_TOKENS = 740_000;

    private final List<String> services = new ArrayList<>();
    private final List<String> tenants = new ArrayList<>();
    private final List<String> routes = new ArrayList<>();
    private int version = 1;

    /** One batch route and one engine service. */
    static Configuration standard() {
        return new Configuration().service(SERVICE).batchRoute("/pule252/", SERVICE);
    }

    Configuration version(int number) {
        version = number;
        return this;
    }

    Configuration service(String name) {
        services.add("{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_conns\":230,\"protocol\":\"h1\","
            + "\"tls\":false,\"engine\":{\"slots\":8,\"kv_capacity\":72000,\"models\":[{\"name\":\"m\"}]}}");
        return this;
    }

    Configuration batchRoute(String prefix, String service) {
        routes.add("{\"name\":\"r-" + prefix.replace("/", "") + "\",\"host\":\"" + HOST
            + "\",\"path_prefix\":\"" + prefix + "\",\"kind\":\"batch\",\"timeout_ms\":15000,"
            + "\"target_latency_ms\":400,\"priority\":2,\"service\":\"" + service
            + "\",\"max_attempts\":3,\"public\":false,\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":400,"
            + "\"due_ms\":18000,\"max_wait_s\":60,\"cap\":" + WAITING_TOKENS + "}");
        return this;
    }

    /** Adds a tenant with the key {@code key-NAME}. */
    Configuration tenant(String name) {
        tenants.add("{\"name\":\"" + name + "\",\"api_keys\":[\"key-" + name
            + "\"],\"priority\":1,\"rate_per_s\":43,\"burst\":43}");
        return this;
    }

    String json() {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
            + String.join(",", services) + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
            + LARGEST_BODY + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":["
            + String.join(",", tenants) + "]}";
    }
}
