import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** What was sent, answered and run, with the time since the start in milliseconds. */
final class Record implements AutoCloseable {
    record Entry(long millis, String kind, String id, String text) {}

    private final long startNanos = System.nanoTime();
    private final List<Entry> entries = new ArrayList<>();
    private final PrintWriter out;

    Record(Path path) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(path), true);
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void add(String kind, String id, String text) {
        Entry entry = new Entry(millis(), kind, id, text);
        entries.add(entry);
        out.println(String.format("%7d ms  %-9s %-16s %s", entry.millis, kind, id == null ? "-" : id, text));
    }

    synchronized List<Entry> find(Predicate<Entry> condition) {
        return entries.stream().filter(condition).toList();
    }

    @Override
    public void close() {
        out.close();
    }
}
