import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of the deploy file's router role. */
final class Router {
    final String name;
    final String ip;
    final int frontPort;
    final int readyPort;
    final int metricsPort;
    private final Path folder;
    private final String store;
    Process process;

    Router(String name, String ip, Path folder, String store) throws IOException {
        this.name = name;
        this.ip = ip;
        this.folder = folder;
        this.store = store;
        frontPort = freePort(ip);
        readyPort = freePort(ip);
        metricsPort = freePort(ip);
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket s = new ServerSocket()) {
            s.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
            return s.getLocalPort();
        }
    }

    /** The command of the deploy file, as it stands there. */
    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return new ArrayList<>(
                        List.of(line.substring(7, line.lastIndexOf('"')).split(" ")));
            }
        }
        throw new IOException("no run line in deploy/system.toml");
    }

    void start() throws IOException {
        Path settings = folder.resolve(name + ".toml");
        Files.writeString(settings, settings());
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().put("HYSSOPTURN_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        process = builder.start();
    }

    private String settings() {
        return String.join(
                "\n",
                "Node = \"" + name + "\"",
                "Role = \"router\"",
                "MachineClass = \"front\"",
                "Serves = [\"front\"]",
                "Ip = \"" + ip + "\"",
                "Zone = \"z1\"",
                "Region = \"r\"",
                "InternalPorts = [" + metricsPort + "," + (metricsPort + 1) + "]",
                "Seeds = []",
                "Bootstrap = true",
                "HeartbeatMs = 1200",
                "[Zones]",
                "z1 = \"r\"",
                "[Listen]",
                "Front = \"" + ip + ":" + frontPort + "\"",
                "ReadinessAddress = \"" + ip + ":" + readyPort + "\"",
                "[Limits]",
                "CpuShare = 0.75",
                "Cores = 1",
                "MemoryMb = 430",
                "MaxFds = 4200",
                "[Bounds]",
                "StableWindowMs = 3000",
                "AckMs = 4000",
                "CatchUpS = 4",
                "DrainMs = 2000",
                "GraceS = 8",
                "LossSlackMs = 200",
                "ConfigApplyMs = 2000",
                "RollbackSlackMs = 250",
                "StretchMs = 5000",
                "BudgetRatio = 0.2",
                "BudgetWindowS = 10",
                "BudgetSlack = 198",
                "RecoveryS = 12",
                "PassMs = 120",
                "stall_ms = 2500",
                "RequireFencing = true",
                "[Platform]",
                "Address = \"" + store + "\"",
                "form = \"log\"",
                "WritesPerS = 400",
                "ReadsPerS = 2000",
                "parts = 8",
                "");
    }

    boolean ready() {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(ip, readyPort), 500);
            s.setSoTimeout(1_000);
            s.getOutputStream().write("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
            return Http.read(s.getInputStream()).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady() throws IOException, InterruptedException {
        for (int i = 0; i < 200; i++) {
            if (ready()) {
                return;
            }
            Thread.sleep(100);
        }
        throw new IOException(name + " did not get ready");
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }

    void kill() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
