package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the project, started with the command and the template of the deploy file. */
final class Node {
    private static final long RESTART_MILLIS = 500;

    final String name;
    final String zone;
    final String host;
    final String callers;
    final String ready;
    private final Path settings;
    private final Path log;
    private final Record record;
    private volatile Process process;
    private volatile boolean isWanted;
    /** Number of times that the process has ended by itself. */
    volatile int ownEnds;

    Node(String name, String zone, String host, String store, Path folder, Record record) throws IOException {
        this.name = name;
        this.zone = zone;
        this.host = host;
        this.record = record;
        int port = Fleet.freePorts(host, 4);
        callers = host + ":" + port;
        ready = host + ":" + (port + 1);
        settings = folder.resolve(name + ".json");
        log = folder.resolve(name + ".log");
        Map<String, String> values = Map.ofEntries(
            Map.entry("node", name), Map.entry("zone", zone), Map.entry("ip", host),
            Map.entry("limits.cpu_share", "0.75"), Map.entry("limits.cores", "2"),
            Map.entry("listen.front", callers), Map.entry("listen.ready", ready),
            Map.entry("port_range.0", "" + (port + 2)), Map.entry("bounds.status_s", "120"),
            Map.entry("bounds.grace_s", "8"), Map.entry("provider.address", store),
            Map.entry("provider.record_bytes", "" + Store.RECORD_BYTES),
            Map.entry("provider.call_bytes", "" + Store.CALL_BYTES),
            Map.entry("provider.parts", "" + Store.PARTS), Map.entry("provider.ttl_min_ms", "1000"));
        Matcher matcher = Pattern.compile("\\{\\{([^}|]*)(\\|json)?\\}\\}").matcher(
            Files.readString(Path.of("deploy/node.json")));
        Files.writeString(settings, matcher.replaceAll(found -> {
            String value = values.get(found.group(1));
            return found.group(2) == null ? value : "\"" + value + "\"";
        }));
    }

    /** Starts the process and starts it again whenever it ends by itself. */
    synchronized void start() {
        isWanted = true;
        try {
            List<String> command = command();
            ProcessBuilder builder = new ProcessBuilder(command);
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("POPLARSHIFT_BOOT", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            Process started = builder.start();
            process = started;
            started.onExit().thenAccept(ended -> onExit(ended));
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private void onExit(Process ended) {
        if (!isWanted || ended != process) return;
        ownEnds++;
        record.say("node " + name + " has ended by itself with code " + ended.exitValue());
        Fleet.sleep(RESTART_MILLIS);
        if (isWanted) start();
    }

    private static List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IOException("no command in the deploy file");
        return new ArrayList<>(List.of(run.group(1).split(" ")));
    }

    /** Ends the process with SIGKILL. */
    synchronized void kill() {
        isWanted = false;
        if (process != null) process.destroyForcibly();
    }

    boolean isReady() {
        return Http.call(null, ready, "GET", "/-/ready", Map.of("Host", ready), new byte[0], 1_000).status == 200;
    }
}
