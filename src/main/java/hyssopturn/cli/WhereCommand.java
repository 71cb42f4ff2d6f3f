package hyssopturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import hyssopturn.model.Address;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.Callable;

/** Asks a running node how it would route a request. */
@Command(
        name = "where",
        mixinStandardHelpOptions = true,
        description = {
            "Shows how a running node would route a request now, and why.",
            "Sends the request nowhere and counts it nowhere."
        },
        footer = {
            "",
            "Example:",
            "  hyssopturn where --node=10.0.0.4:9101 --host=town.example --path=/write/x"
                    + " --account=ann --prompt=800",
            "",
            "Exit codes: 0 shown, 1 no answer from the node, or route, account or zone not known",
            "there, 2 wrong usage."
        })
final class WhereCommand implements Callable<Integer> {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int OK = 200;

    @Spec private CommandSpec spec;

    @Option(
            names = "--node",
            required = true,
            paramLabel = "HOST:PORT",
            description = "Address of the node's metrics.")
    private String node;

    @Option(names = "--host", required = true, description = "Host of the request.")
    private String host;

    @Option(names = "--path", required = true, description = "Path of the request.")
    private String path;

    @Option(names = "--account", description = "Name of the client account, not its key.")
    private String account = "";

    @Option(names = "--prompt", description = "Tokens of the prompt, 0 if not given.")
    private int prompt;

    @Option(names = "--answer", description = "Greatest number of tokens of the answer.")
    private int answer;

    @Option(names = "--zone", description = "Zone that the node must be in.")
    private String zone = "";

    @Option(names = "--json", description = "Print JSON.")
    private boolean json;

    @Override
    public Integer call() throws InterruptedException {
        Address address = Address.parse(node);
        HttpResponse<String> response;
        try (HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build()) {
            response =
                    client.send(
                            HttpRequest.newBuilder(question(address)).timeout(TIMEOUT).build(),
                            HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            return fail("no node answers at " + address + ": " + e);
        }
        return show(response, address);
    }

    private Integer show(HttpResponse<String> response, Address address) {
        JsonNode body;
        try {
            body = new ObjectMapper().readTree(response.body());
        } catch (IOException e) {
            return fail(address + " is not the metrics address of a node that explains routing");
        }
        if (response.statusCode() != OK) {
            return fail(body.path("error").asText("status " + response.statusCode()));
        }
        PrintWriter out = spec.commandLine().getOut();
        if (json) {
            out.println(body.toPrettyString());
        } else {
            print(body, out);
        }
        return ExitCodes.OK;
    }

    private Integer fail(String error) {
        spec.commandLine().getErr().println(error);
        return ExitCodes.FAILED;
    }

    private URI question(Address address) {
        return URI.create(
                "http://%s/where?host=%s&path=%s&account=%s&prompt=%d&answer=%d&zone=%s"
                        .formatted(
                                address,
                                encode(host),
                                encode(path),
                                encode(account),
                                prompt,
                                answer,
                                encode(zone)));
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private static void print(JsonNode body, PrintWriter out) {
        out.println(
                "route %s, service %s (%s), priority %d, target %d ms"
                        .formatted(
                                body.path("route").asText(),
                                body.path("service").asText(),
                                body.path("type").asText(),
                                body.path("priority").asInt(),
                                body.path("targetMillis").asLong()));
        out.println(
                "node in zone %s, admission: %s"
                        .formatted(body.path("node").asText(), body.path("admission").asText()));
        if (body.path("zones").isEmpty()) {
            out.println("capacity of zones: not known");
        }
        for (JsonNode known : body.path("zones")) {
            out.println(
                    ("zone %s: serves %.1f/s, asked for %.1f/s, late %.2f, %d ms old, part %.2f,"
                                    + " first event in %.0f ms, cost %.0f ms")
                            .formatted(
                                    known.path("zone").asText(),
                                    known.path("capacityPerSecond").asDouble(),
                                    known.path("askedPerSecond").asDouble(),
                                    known.path("latePart").asDouble(),
                                    known.path("ageMillis").asLong(),
                                    known.path("part").asDouble(),
                                    known.path("firstMillis").asDouble(),
                                    known.path("cost").asDouble()));
        }
        out.println(decision(body));
        for (JsonNode other : body.path("passedOver")) {
            out.println(
                    "passed over %s in zone %s: %s"
                            .formatted(
                                    other.path("endpoint").asText(),
                                    other.path("zone").asText(),
                                    other.path("reason").asText()));
        }
    }

    private static String decision(JsonNode body) {
        String decision = body.path("decision").asText();
        String cause = body.path("cause").asText();
        return switch (decision) {
            case "start" ->
                    "start at %s (%s)"
                            .formatted(body.path("chosen").asText(), body.path("reach").asText());
            case "refuse" ->
                    "refuse: %s; come back in %d ms"
                            .formatted(cause, body.path("retryAfterMillis").asLong());
            default -> decision + ": " + cause;
        };
    }
}
