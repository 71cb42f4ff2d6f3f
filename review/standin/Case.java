import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Frame of a case: temporary folder, record, processes, and the exit status. */
abstract class Case {
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder;
    private PrintWriter record;
    private final List<Router> routers = new ArrayList<>();
    private final long startNanos = System.nanoTime();

    /** Runs the case; returns true if the rule was broken. */
    abstract boolean broken() throws Exception;

    final double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    final synchronized void note(String format, Object... values) {
        record.printf("%8.3f %s%n", seconds(), String.format(format, values));
        record.flush();
    }

    final Router router(String name, String ip, String store) throws IOException {
        Router router = new Router(name, ip, folder, store);
        routers.add(router);
        return router;
    }

    final void sleep(double seconds) throws InterruptedException {
        Thread.sleep((long) (seconds * 1_000));
    }

    final void run(String place) {
        int status = 2;
        Thread hook = new Thread(this::end);
        Runtime.getRuntime().addShutdownHook(hook);
        Http.daemon(
                () -> {
                    try {
                        Thread.sleep(115_000);
                    } catch (InterruptedException e) {
                        return;
                    }
                    System.exit(2);
                });
        try {
            record = new PrintWriter(Files.newBufferedWriter(Path.of(place, "record.txt")));
            folder = Files.createTempDirectory("review");
            note("trouble: %s", trouble);
            status = broken() ? 1 : 0;
            note("%s", status == 1 ? "RULE BROKEN" : "rule held");
        } catch (Exception e) {
            e.printStackTrace();
            if (record != null) {
                note("could not run: %s", e);
            }
        }
        System.out.println(status == 1 ? "rule broken" : status == 0 ? "rule held" : "not run");
        System.exit(status);
    }

    private void end() {
        routers.forEach(Router::kill);
        if (folder == null) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        } catch (IOException e) {
            // a temporary folder that stays does no harm
        }
    }
}
