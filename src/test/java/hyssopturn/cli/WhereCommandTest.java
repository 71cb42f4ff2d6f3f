package hyssopturn.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import picocli.CommandLine;

import java.io.PrintWriter;
import java.io.StringWriter;

/** The output for a node's answers, which a stand-in of the node's metrics server gives. */
class WhereCommandTest {
    private static final String ANSWER =
            """
            {"node":"a","route":"w","service":"writers","type":"stream","priority":1,
             "targetMillis":500,"zones":[{"zone":"a","capacityPerSecond":50.0,
             "askedPerSecond":75.0,"latePart":0.2,"ageMillis":300,"part":0.0,
             "firstMillis":520.0,"cost":720.0}],"decision":"start","cause":"",
             "chosen":"b1=0-80","reach":"other zone","admission":"no admission",
             "passedOver":[{"endpoint":"a1","zone":"a","reason":"suspected"}],
             "retryAfterMillis":0}
            """;

    private final Vertx vertx = Vertx.vertx();
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    @AfterEach
    void close() {
        vertx.close().await();
    }

    private int run(int status, String body, String... more) {
        HttpServer server =
                vertx.createHttpServer()
                        .requestHandler(r -> r.response().setStatusCode(status).end(body))
                        .listen(0, "127.0.0.1")
                        .await();
        return run("127.0.0.1:" + server.actualPort(), more);
    }

    private int run(String node, String... more) {
        CommandLine line = new CommandLine(new WhereCommand());
        line.setOut(new PrintWriter(out, true));
        line.setErr(new PrintWriter(err, true));
        String[] args = new String[more.length + 3];
        args[0] = "--node=" + node;
        args[1] = "--host=town.example";
        args[2] = "--path=/write/x y&z";
        System.arraycopy(more, 0, args, 3, more.length);
        return line.execute(args);
    }

    @Test
    void showsZonesDecisionAndWhatWasPassedOver() {
        assertThat(run(200, ANSWER), equalTo(ExitCodes.OK));
        assertThat(out.toString(), containsString("start at b1=0-80 (other zone)"));
        assertThat(out.toString(), containsString("zone a: serves 50.0/s, asked for 75.0/s"));
        assertThat(out.toString(), containsString("passed over a1 in zone a: suspected"));
    }

    @Test
    void printsJson() {
        assertThat(run(200, ANSWER, "--json"), equalTo(ExitCodes.OK));
        assertThat(out.toString(), containsString("\"chosen\" : \"b1=0-80\""));
    }

    @Test
    void passesOnWhatTheNodeDoesNotKnow() {
        int code = run(404, "{\"error\":\"no account bob\"}", "--account=bob");
        assertThat(code, equalTo(ExitCodes.FAILED));
        assertThat(err.toString().strip(), equalTo("no account bob"));
    }

    @Test
    void namesANodeThatDoesNotAnswer() {
        assertThat(run("127.0.0.1:1"), equalTo(ExitCodes.FAILED));
        assertThat(err.toString(), containsString("no node answers at 127.0.0.1:1"));
        assertThat(err.toString(), not(containsString("at hyssopturn.")));
    }

    @Test
    void namesAServerThatIsNoNode() {
        assertThat(run(200, "# HELP metrics"), equalTo(ExitCodes.FAILED));
        assertThat(err.toString(), containsString("is not the metrics address of a node"));
    }
}
