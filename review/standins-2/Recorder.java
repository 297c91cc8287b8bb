import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to {@code record.txt} of a case, with the time since the start. */
final class Recorder {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    /** Milliseconds since the start. */
    long ms() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String text) {
        out.println(String.format(Locale.ROOT, "%8.3f  %s", ms() / 1000.0, text));
    }

    synchronized void close() {
        out.close();
    }
}
