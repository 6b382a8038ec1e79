package review2;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One entry VM: a process of the project, started with the command and the template of the deploy file. */
final class Node {
    private static final List<Node> STARTED = new ArrayList<>();
    final String name;
    final String zone;
    final String host;
    final int callersPort;
    final int readinessPort;
    private final int freePort;
    private final Path folder;
    private final Path settings;
    private Process process;

    /** Chooses ports and writes the settings of a node with the address 127.0.1.INDEX. */
    Node(Path folder, int index, String zone, String zones, String storeAddress, double retentionSeconds)
        throws IOException {
        this.folder = folder;
        name = "front-" + zone + "-" + index;
        this.zone = zone;
        host = "127.0.1." + index;
        callersPort = freePort(host, 1);
        readinessPort = freePort(host, 1);
        freePort = freePort(host, 2);
        settings = folder.resolve(name + ".json");
        String text = Files.readString(Path.of("deploy/node.json"))
            .replace("{{node|json}}", Json.quote(name))
            .replace("{{zone|json}}", Json.quote(zone))
            .replace("{{zones|json}}", zones)
            .replace("{{ip|json}}", Json.quote(host))
            .replace("{{limits.cpu_share}}", "0.75")
            .replace("{{limits.cores}}", "2")
            .replace("{{listen.front|json}}", Json.quote(host + ":" + callersPort))
            .replace("{{listen.ready|json}}", Json.quote(host + ":" + readinessPort))
            .replace("{{port_range.0}}", "" + freePort)
            .replace("{{bounds.status_s}}", "" + retentionSeconds)
            .replace("{{bounds.grace_s}}", "8")
            .replace("{{provider.address|json}}", Json.quote(storeAddress))
            .replace("{{provider.record_bytes}}", "262144")
            .replace("{{provider.call_bytes}}", "2097152")
            .replace("{{provider.parts}}", "8")
            .replace("{{provider.ttl_min_ms}}", "1000");
        Files.writeString(settings, text);
    }

    private static int freePort(String host, int count) throws IOException {
        while (true) {
            try (ServerSocket first = new ServerSocket(0, 1, InetAddress.getByName(host))) {
                if (count == 1) return first.getLocalPort();
                try (ServerSocket second = new ServerSocket(first.getLocalPort() + 1, 1, InetAddress.getByName(host))) {
                    return first.getLocalPort();
                } catch (IOException | IllegalArgumentException inUse) {
                    // The next pair may be free.
                }
            }
        }
    }

    void start() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IOException("deploy/system.toml has no run line");
        ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.group(1).split(" ")));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("POPLARSHIFT_BOOT", settings.toString());
        File log = folder.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
        synchronized (STARTED) {
            STARTED.add(this);
        }
    }

    /** Waits until the readiness check succeeds. */
    void awaitReady(long millis) throws Exception {
        long end = System.currentTimeMillis() + millis;
        while (!isReady()) {
            if (System.currentTimeMillis() > end) throw new IOException(name + " does not become ready");
            Thread.sleep(100);
        }
    }

    boolean isReady() {
        try {
            URL url = new URL("http://" + host + ":" + readinessPort + "/-/ready");
            HttpURLConnection connection = (HttpURLConnection) url.openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == 200;
        } catch (IOException exception) {
            return false;
        }
    }

    boolean isRunning() {
        return process != null && process.isAlive();
    }

    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor();
    }

    boolean awaitExit(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    void kill() {
        if (process != null) process.destroyForcibly();
    }

    static void killAll() {
        synchronized (STARTED) {
            STARTED.forEach(Node::kill);
        }
    }
}
