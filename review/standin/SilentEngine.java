import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A planned stop of one machine while a sound engine is silent for a second and another is full. */
final class SilentEngine extends Case {
    private static final String IP = "127.0.0.1";
    private static final int EVENTS = 150;
    private static final int[] CLIENTS = {45, 27, 26};
    private static final long SILENCE_MS = 1_200;
    private static final double GRACE_S = 8;

    static final String CONFIG =
            "{\"Version\":1,\"Routes\":[{\"Name\":\"r-sheet\",\"Host\":\"a.example\","
                    + "\"PathPrefix\":\"/sheet/\",\"Type\":\"streaming\",\"TimeoutMs\":20000,"
                    + "\"TargetLatencyMs\":500,\"Priority\":1,\"Service\":\"model\","
                    + "\"MaxAttempts\":2,\"AnonymousAccess\":false,\"SessionAffinity\":true,"
                    + "\"StreamResume\":true,\"GapAimMs\":200}],"
                    + "\"Services\":[{\"Name\":\"model\",\"HealthPath\":\"/health\","
                    + "\"MaxConnections\":1128,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{"
                    + "\"Slots\":134,\"KvTokens\":69791,\"KvTokenBytes\":657671,\"Stride\":2,"
                    + "\"Models\":[{\"Name\":\"m\",\"pace\":1.0,\"LoadS\":14.0,\"WarmS\":1.0}],"
                    + "\"step_ms\":0.85,\"per_seq_ms\":0.0043,\"context_per_k\":0.0057,"
                    + "\"read_per_s\":252000.0,\"chunk\":512,\"report_lag_ms\":200.0,"
                    + "\"usual\":{\"prompt\":772,\"answer\":154},\"Layers\":80,\"LayerMb\":1750.0,"
                    + "\"ActivationBytes\":32811,\"PipeMbps\":7900.0,\"Kinds\":[{\"Name\":\"card\","
                    + "\"SizeMb\":300000.0,\"pace\":1.0,\"ReadX\":1.0}]}}],"
                    + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
                    + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
                    + "\"Tenants\":[{\"Name\":\"t1\",\"ApiKeys\":[\"k1\"],\"Priority\":1}]}";

    private final List<Router> routers = new ArrayList<>();
    private volatile boolean over;
    private volatile double stopAt = 1e9;
    private int lost;
    private int judged;

    public static void main(String[] arguments) {
        new SilentEngine().run(arguments[0]);
    }

    @Override
    boolean broken() throws Exception {
        Store store = new Store(IP);
        Engine sound = new Engine("i-sound", IP, EVENTS, false);
        Engine full = new Engine("i-full", IP, EVENTS, true);
        store.put("keyed.op", "config", CONFIG);
        Http.daemon(() -> beat(store, List.of(sound, full)));
        for (int i = 0; i < CLIENTS.length; i++) {
            Router router = router("front-" + (i + 1), IP, IP + ":" + store.port());
            routers.add(router);
            router.start();
        }
        for (Router router : routers) {
            router.awaitReady();
        }
        sleep(3);
        for (int i = 0; i < CLIENTS.length; i++) {
            for (int c = 0; c < CLIENTS[i]; c++) {
                int home = i;
                String name = "q" + (i + 1) + "-" + c;
                Http.daemon(() -> client(name, home));
                sleep(0.05);
            }
        }
        sleep(14);
        stopAt = seconds();
        note("SIGTERM to front-1");
        routers.get(0).signal("TERM");
        sleep(0.3);
        if (trouble) {
            note("i-sound is silent for %d ms", SILENCE_MS);
            sound.fallSilent(SILENCE_MS);
        }
        sleep(GRACE_S + 1);
        over = true;
        sleep(6);
        synchronized (this) {
            note("requests of front-1 that ended during its stop: %d, lost: %d", judged, lost);
        }
        note("refusals by i-full: %d", full.refusals.values().stream().mapToInt(n -> n).sum());
        return lost > 0;
    }

    private void beat(Store store, List<Engine> engines) {
        try {
            for (long sequence = 1; ; sequence++) {
                for (Engine engine : engines) {
                    if (!engine.silent()) {
                        store.put("keyed.servers", engine.id, engine.announcement(sequence));
                    }
                }
                Thread.sleep(1_200);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends streams one after the other, on one channel as long as it stays open. */
    private void client(String name, int home) {
        int at = home;
        Socket channel = new Socket();
        for (int i = 0; !over; i++) {
            if (at == 0 && seconds() > stopAt + 2) {
                at = 1;
            }
            String id = name + "-" + i;
            double sentAt = seconds();
            String end;
            try {
                if (!channel.isConnected() || channel.isClosed()) {
                    channel = new Socket();
                    channel.connect(new InetSocketAddress(IP, routers.get(at).frontPort), 1_000);
                    channel.setSoTimeout(3_000);
                }
                sentAt = seconds();
                channel.getOutputStream().write(request(id));
                end = read(channel, id);
            } catch (IOException e) {
                end = "cut (" + e.getMessage() + ")";
                close(channel);
            }
            record(id, routers.get(at).name, sentAt, end);
            try {
                Thread.sleep(end.equals("whole") ? 50 : 1_000);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    static byte[] request(String id) {
        return ("POST /sheet/x HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: k1\r\n"
                        + "Hyssopturn-Attempt-Id: " + id + "\r\nHyssopturn-Model: m\r\n"
                        + "Hyssopturn-Token-Counts: 800,300\r\n"
                        + "Hyssopturn-Prompt-Prefix: aa" + Math.floorMod(id.hashCode(), 60)
                        + ":40,bb" + Integer.toHexString(id.hashCode()) + ":760\r\n"
                        + "Hyssopturn-Deadline-Ms: 20000\r\nContent-Length: 5\r\n\r\nhello")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Reads an answer; closes the channel if the answer says so. */
    private static String read(Socket channel, String id) throws IOException {
        InputStream in = channel.getInputStream();
        Http.Message head = Http.head(in);
        String result = "status " + head.status();
        if (head.status() == 200) {
            StringBuilder got = new StringBuilder();
            for (byte[] c = Http.chunk(in); c.length > 0; c = Http.chunk(in)) {
                got.append(new String(c, StandardCharsets.ISO_8859_1));
            }
            String whole = "";
            for (int i = 0; i < EVENTS; i++) {
                whole += Engine.event(id, i);
            }
            result = got.toString().equals(whole) ? "whole" : "wrong bytes";
        } else if (!head.header("content-length").isEmpty()) {
            Http.exactly(in, Integer.parseInt(head.header("content-length")));
        }
        if (head.header("connection").equals("close")) {
            close(channel);
        }
        return result;
    }

    private static void close(Socket channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // closed all the same
        }
    }

    /**
     * LOST around the planned stop of front-1: it read a whole request, passed it on, and the
     * channel ended without a complete answer. Not counted: ends in the last sixth of GraceS.
     */
    private synchronized void record(String id, String router, double sentAt, String end) {
        double now = seconds();
        note("%s at %s sent %.3f: %s", id, router, sentAt, end);
        boolean stopping = router.equals("front-1") && now > stopAt && now < stopAt + GRACE_S + 1;
        if (!stopping || end.contains("refused")) {
            return;
        }
        judged++;
        boolean cut = end.startsWith("cut") && !end.contains("timed out");
        if (cut && now < stopAt + GRACE_S * 5 / 6) {
            lost++;
        }
    }
}
