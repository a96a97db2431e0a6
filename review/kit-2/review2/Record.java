package review2;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: one line an event, with the seconds since the start of the case. */
final class Record implements AutoCloseable {
    private final long startNs = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws Exception {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (System.nanoTime() - startNs) / 1e9;
    }

    synchronized void line(String format, Object... args) {
        String text = args.length == 0 ? format : String.format(Locale.ROOT, format, args);
        out.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), text));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
