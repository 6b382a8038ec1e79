package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** What all cases have in common: a small deployment with a few zones, the record and the exit status. */
abstract class Case {
    private static final long START_MILLIS = System.nanoTime() / 1_000_000;
    private static PrintWriter recorder;
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Node> nodes = new ArrayList<>();
    String[] zoneNames = {"a", "b", "c"};
    Store store;
    Path folder;
    private final AtomicLong versions = new AtomicLong(6);

    /** Runs the case. Returns whether the rule held. */
    abstract boolean run() throws Exception;

    static long now() {
        return System.nanoTime() / 1_000_000 - START_MILLIS;
    }

    static synchronized void record(String text) {
        recorder.printf("%8.3f %s%n", now() / 1000.0, text);
        recorder.flush();
    }

    static void main(Case instance, String[] arguments) throws Exception {
        recorder = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0])));
        Runtime.getRuntime().addShutdownHook(new Thread(Node::killAll));
        Http.start("limit", () -> {
            try {
                Thread.sleep(115_000);
            } catch (InterruptedException ignored) {
                return;
            }
            record("the case takes too long");
            Node.killAll();
            Runtime.getRuntime().halt(2);
        });
        int status;
        try {
            instance.folder = Files.createTempDirectory("review2-");
            record("trouble: " + instance.hasTrouble);
            status = instance.run() ? 0 : 1;
            record(status == 0 ? "the rule held" : "the rule was broken");
        } catch (Exception exception) {
            record("the case could not run: " + exception);
            exception.printStackTrace();
            status = 2;
        }
        Node.killAll();
        if (System.getenv("KEEP_LOGS") == null) delete(instance.folder);
        else System.out.println("logs: " + instance.folder);
        Runtime.getRuntime().halt(status);
    }

    private static void delete(Path folder) {
        if (folder == null) return;
        try (var files = Files.list(folder)) {
            for (Path file : (Iterable<Path>) files::iterator) Files.delete(file);
            Files.delete(folder);
        } catch (IOException exception) {
            record("the temporary folder is left: " + exception);
        }
    }

    /** Starts the store and {@code perZone} nodes in each zone, and waits until they are ready. */
    void startFleet(int perZone, String configuration) throws Exception {
        store = new Store();
        writeConfiguration(configuration);
        int index = 1;
        StringBuilder zones = new StringBuilder();
        for (String zone : zoneNames) zones.append(zones.length() == 0 ? "{" : ",").append(Json.quote(zone)).append(":\"r\"");
        for (String zone : zoneNames) {
            for (int i = 0; i < perZone; i++) {
                nodes.add(new Node(folder, index++, zone, zones + "}", store.address(), 120));
            }
        }
    }

    void startNodes() throws Exception {
        for (Node node : nodes) node.start();
        for (Node node : nodes) node.awaitReady(30_000);
        record(nodes.size() + " nodes are ready");
    }

    /** Writes a configuration, whose version is filled in. */
    void writeConfiguration(String configuration) {
        long version = versions.incrementAndGet();
        store.put("keyed.op", "config", configuration.replace("VERSION", "" + version));
        record("configuration " + version + " is acknowledged");
    }
}
