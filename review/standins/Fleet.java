package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A small deployment on loopback addresses: the store, the nodes and the operator. */
final class Fleet {
    private static final long START_MILLIS = 40_000;

    final Record record;
    final Store store;
    final List<Node> nodes = new ArrayList<>();
    private final Path folder;
    private final String network;

    /** Starts the store and {@code count} nodes in {@code zones} zones. */
    Fleet(Record record, int count, int zones) throws Exception {
        this.record = record;
        folder = Files.createTempDirectory("review");
        // Runs at the same time use different addresses.
        long pid = ProcessHandle.current().pid();
        network = "127." + (1 + pid / 250 % 250) + "." + (1 + pid % 250) + ".";
        store = new Store(record);
        String host = network + "1";
        int port = freePort(host);
        store.start(host, port);
        for (int number = 0; number < count; number++) {
            String zone = zone(number % zones);
            nodes.add(new Node("front-" + zone + "-" + (number / zones + 1), zone, network + (10 + number),
                host + ":" + port, folder, record));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
    }

    static String zone(int number) {
        return "zone-" + (char) ('a' + number);
    }

    String host(int number) {
        return network + number;
    }

    /** Starts all nodes and waits until they are ready. */
    void startNodes() {
        nodes.forEach(Node::start);
        awaitReady(nodes, START_MILLIS);
        record.line(nodes.size() + " nodes are ready");
    }

    void awaitReady(List<Node> awaited, long timeoutMillis) {
        long untilMillis = System.currentTimeMillis() + timeoutMillis;
        for (Node node : awaited) {
            while (!node.isReady()) {
                if (System.currentTimeMillis() > untilMillis) throw new Unplayable(node.name + " isn't ready");
                sleep(100);
            }
        }
    }

    /** The operator writes a configuration. */
    void publish(String configuration) {
        store.put("keyed.op", "config", configuration);
        record.line("operator: " + configuration);
    }

    void stop() {
        nodes.forEach(Node::kill);
        if (System.getenv("REVIEW_KEEP") != null) {
            System.out.println("logs in " + folder);
            return;
        }
        sleep(300);
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) Files.delete(file);
            Files.delete(folder);
        } catch (IOException exception) {
            System.err.println("temporary folder not removed: " + exception.getMessage());
        }
    }

    static int freePort(String host) throws IOException {
        return freePorts(host, 1);
    }

    /** Returns the first of {@code count} ports in a row that are free on {@code host}. */
    static int freePorts(String host, int count) throws IOException {
        InetAddress address = InetAddress.getByName(host);
        while (true) {
            int first;
            try (ServerSocket probe = new ServerSocket(0, 1, address)) {
                first = probe.getLocalPort();
            }
            if (first + count > 65_000) continue;
            boolean isFree = true;
            for (int port = first; port < first + count; port++) {
                try (ServerSocket probe = new ServerSocket(port, 1, address)) {
                    isFree &= probe.isBound();
                } catch (IOException taken) {
                    isFree = false;
                }
            }
            if (isFree) return first;
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** Thrown when a case couldn't be played. */
    static final class Unplayable extends RuntimeException {
        Unplayable(String message) {
            super(message);
        }
    }
}
