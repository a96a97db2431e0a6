package review2;

import java.nio.file.Path;

/** Runs one case: the name of its class, and the folder for its record. Exits with 0 (held), 1 (broken) or 2 (could not run). */
public final class Main {
    private static final int TIME_LIMIT_S = Integer.parseInt(System.getenv().getOrDefault("LIMIT_S", "117"));

    private Main() {}

    interface Case {
        /** Returns the exit status. */
        int run(Path folder, boolean withTrouble) throws Exception;
    }

    public static void main(String[] args) {
        boolean withTrouble = !"0".equals(System.getenv("TROUBLE"));
        Thread watchdog =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(TIME_LIMIT_S * 1000L);
                            } catch (InterruptedException e) {
                                return;
                            }
                            System.err.println("time limit");
                            System.exit(2);
                        });
        watchdog.setDaemon(true);
        watchdog.start();
        int status;
        try {
            Case subject = (Case) Class.forName("review2." + args[0]).getDeclaredConstructor().newInstance();
            status = subject.run(Path.of(args[1]), withTrouble);
        } catch (Throwable e) {
            e.printStackTrace();
            status = 2;
        }
        System.out.println(args[0] + (withTrouble ? "" : " without trouble") + ": " + (status == 0 ? "held" : status == 1 ? "broken" : "could not run"));
        System.exit(status);
    }
}
