import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what happened to record.txt, with the time in seconds since the start. Thread-safe. */
final class Record {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Time since the start in milliseconds. */
    long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String format, Object... args) {
        double s = nowMs() / 1000.0;
        String text = String.format(Locale.ROOT, "%8.3f s  ", s) + String.format(Locale.ROOT, format, args);
        out.println(text);
        System.out.println(text);
    }
}
