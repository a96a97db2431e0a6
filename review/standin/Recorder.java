package standin;

import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;

/** Writes record.txt: one line for each thing that was sent, answered or run, with the seconds since the start. */
public final class Recorder {
    private final long startedAtNs = System.nanoTime();
    private final PrintWriter out;

    public Recorder(File file) throws IOException {
        out = new PrintWriter(file, "UTF-8");
    }

    public double seconds() {
        return (System.nanoTime() - startedAtNs) / 1e9;
    }

    public synchronized void line(String text) {
        out.printf("%8.3f %s%n", seconds(), text);
        out.flush();
    }
}
