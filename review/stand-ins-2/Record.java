import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the milliseconds since the start of the case. */
final class Record {
    private final PrintStream out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintStream(file.toFile());
    }

    long millis() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        String text = String.format("%7d ms  %s", millis(), String.format(format, values));
        out.println(text);
        out.flush();
        System.out.println(text);
    }
}
