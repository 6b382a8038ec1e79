package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** Writes what was sent, answered and run to a file, with the time since the start. */
final class Record {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(file.toFile());
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String text) {
        out.printf("%8.3f %s%n", millis() / 1000.0, text);
        out.flush();
    }

    /** Writes the line to standard output as well. */
    void say(String text) {
        line(text);
        System.out.println(text);
    }
}
