package hyssopturn.cli;

import hyssopturn.admit.LimitKind;
import hyssopturn.admit.Policy;
import hyssopturn.model.Address;
import hyssopturn.model.Zone;

import java.time.Duration;
import java.util.List;

/** All settings of the program. */
final class Options {
    private static final Duration MILLI = Duration.ofMillis(1);
    private static final Duration TEN_MILLIS = Duration.ofMillis(10);
    private static final Duration MINUTE = Duration.ofMinutes(1);
    private static final Duration HOUR = Duration.ofHours(1);
    private static final Duration DAY = Duration.ofDays(1);
    private static final int MAX_PORT = 65_535;
    private static final long KIB = 1L << 10;
    private static final long GIB = 1L << 30;

    static final Setting<String> ID =
            new Setting<>("id", new Kind.Name(), "node-1", "Name of this instance");
    static final Setting<Zone> ZONE =
            new Setting<>(
                    "zone", new Kind.Place(), "local/a", "Availability zone of this instance");
    static final Setting<String> HOST =
            new Setting<>("host", new Kind.Name(), "127.0.0.1", "IP number to listen on");
    static final Setting<Integer> PORT =
            new Setting<>(
                    "port",
                    new Kind.Whole(0, MAX_PORT),
                    "0",
                    "Port to listen on, 0 for any free one");
    static final Setting<Integer> PEER_PORT =
            new Setting<>(
                    "peer-port",
                    new Kind.Whole(0, MAX_PORT),
                    "0",
                    "Port for links of other nodes, 0 for any free one");
    static final Setting<Address> PLATFORM =
            new Setting<>(
                    "platform",
                    new Kind.HostPort(),
                    "127.0.0.1:7070",
                    "Where the platform's log, instance list and weight store listen");
    static final Setting<String> ACCOUNT_SECRET =
            new Setting<>(
                    "account-secret",
                    new Kind.Name(),
                    "trial-accounts",
                    "Secret of the callers' bearer tokens");
    static final Setting<String> PEER_SECRET =
            new Setting<>(
                    "peer-secret",
                    new Kind.Name(),
                    "trial-peers",
                    "Secret of the links between nodes");
    static final Setting<String> OPERATOR_SECRET =
            new Setting<>(
                    "operator-secret",
                    new Kind.Name(),
                    "trial-operators",
                    "Secret of the operators' bearer tokens");
    static final Setting<Duration> POLL_INTERVAL =
            new Setting<>(
                    "poll-interval",
                    new Kind.Span(TEN_MILLIS, MINUTE),
                    "500ms",
                    "Time between two readings of the instance list");
    static final Setting<Duration> LOG_RETENTION =
            new Setting<>(
                    "log-retention",
                    new Kind.Span(Duration.ofSeconds(1), DAY.multipliedBy(366)),
                    "1h",
                    "Least time that the platform's log keeps a record");
    static final Setting<Duration> LEDGER_KEEP =
            new Setting<>(
                    "ledger-keep",
                    new Kind.Span(MINUTE, DAY.multipliedBy(366)),
                    "3d",
                    "How long the key of a call that must not be repeated is known");
    static final Setting<Integer> LOG_APPENDS =
            new Setting<>(
                    "log-appends",
                    new Kind.Whole(1, 100_000),
                    "300",
                    "Appends a second that the ledgers of all nodes may take together");
    static final Setting<Duration> CONNECT_TIMEOUT =
            new Setting<>(
                    "connect-timeout",
                    new Kind.Span(TEN_MILLIS, MINUTE),
                    "1s",
                    "Greatest time to make a connection");
    static final Setting<Duration> LOG_TIMEOUT =
            new Setting<>(
                    "log-timeout",
                    new Kind.Span(TEN_MILLIS, MINUTE),
                    "2s",
                    "Greatest time of a call to the platform");
    static final Setting<Duration> ENGINE_TIMEOUT =
            new Setting<>(
                    "engine-timeout",
                    new Kind.Span(TEN_MILLIS, HOUR),
                    "30s",
                    "Greatest time that a call to an engine may be idle");
    static final Setting<Duration> SERVICE_TIMEOUT =
            new Setting<>(
                    "service-timeout",
                    new Kind.Span(TEN_MILLIS, HOUR),
                    "10s",
                    "Greatest time that a call to a service may be idle");
    static final Setting<Duration> ANSWER_KEEP =
            new Setting<>(
                    "answer-keep",
                    new Kind.Span(MILLI, DAY),
                    "5m",
                    "How long an answer is kept for callers that lost their connection");
    static final Setting<Long> ANSWER_BYTES =
            new Setting<>(
                    "answer-bytes",
                    new Kind.Size(KIB, GIB),
                    "32MiB",
                    "Greatest size of all answers kept");
    static final Setting<Duration> CALLER_GRACE =
            new Setting<>(
                    "caller-grace",
                    new Kind.Span(MILLI, DAY),
                    "30s",
                    "How long a generation goes on while nobody reads its answer");
    static final Setting<Duration> STALL_PATIENCE =
            new Setting<>(
                    "stall-patience",
                    new Kind.Span(MILLI, HOUR),
                    "30s",
                    "How long a generation that has begun may go without a token");
    static final Setting<Long> ACTIVATION_BYTES =
            new Setting<>(
                    "activation-bytes",
                    new Kind.Size(0, GIB),
                    "32MiB",
                    "Greatest size of all activations kept for replay");
    static final Setting<Integer> EVENT_CAPACITY =
            new Setting<>(
                    "event-capacity",
                    new Kind.Whole(1, 1_000_000),
                    "10000",
                    "Number of events kept for the time line");
    static final Setting<Long> BODY_LIMIT =
            new Setting<>("body-limit", new Kind.Size(KIB, GIB), "1MiB", "Greatest size of a body");
    static final Setting<Long> HEADER_LIMIT =
            new Setting<>(
                    "header-limit",
                    new Kind.Size(KIB, KIB << 10),
                    "16KiB",
                    "Greatest size of all headers of a request");
    static final Setting<Integer> CONNECTIONS =
            new Setting<>(
                    "connections",
                    new Kind.Whole(1, 1_000_000),
                    "10000",
                    "Greatest number of open connections of callers");
    static final Setting<Duration> IDLE_TIMEOUT =
            new Setting<>(
                    "idle-timeout",
                    new Kind.Span(TEN_MILLIS, HOUR),
                    "2m",
                    "How long a caller's connection may carry nothing");
    static final Setting<Duration> DRAIN_TIMEOUT =
            new Setting<>(
                    "drain-timeout",
                    new Kind.Span(MILLI, DAY),
                    "10m",
                    "How long a shutdown waits for requests in progress");
    static final Setting<Policy> ADMIT_POLICY =
            new Setting<>(
                    "admit-policy",
                    new Kind.OneOf<>(Policy.class),
                    "fair",
                    "Order in which waiting requests start");
    static final Setting<LimitKind> ADMIT_LIMIT =
            new Setting<>(
                    "admit-limit",
                    new Kind.OneOf<>(LimitKind.class),
                    "gradient",
                    "How the number of requests that run at once is limited");
    static final Setting<Integer> ADMIT_INITIAL_LIMIT =
            new Setting<>(
                    "admit-initial-limit",
                    new Kind.Whole(1, 1_000_000),
                    "32",
                    "Requests of a model or service that may run at once in the beginning");
    static final Setting<Integer> ADMIT_MAX_LIMIT =
            new Setting<>(
                    "admit-max-limit",
                    new Kind.Whole(1, 1_000_000),
                    "20000",
                    "Greatest number of requests of a model or service that run at once");
    static final Setting<Integer> ADMIT_QUEUE =
            new Setting<>(
                    "admit-queue",
                    new Kind.Whole(1, 1_000_000),
                    "20000",
                    "Greatest number of requests of a model or service that wait");

    /** Settings of a node. */
    static final List<Setting<?>> NODE =
            List.of(
                    ID,
                    ZONE,
                    HOST,
                    PORT,
                    PEER_PORT,
                    PLATFORM,
                    ACCOUNT_SECRET,
                    PEER_SECRET,
                    OPERATOR_SECRET,
                    POLL_INTERVAL,
                    LOG_RETENTION,
                    LEDGER_KEEP,
                    LOG_APPENDS,
                    CONNECT_TIMEOUT,
                    LOG_TIMEOUT,
                    ENGINE_TIMEOUT,
                    SERVICE_TIMEOUT,
                    ANSWER_KEEP,
                    ANSWER_BYTES,
                    CALLER_GRACE,
                    STALL_PATIENCE,
                    ACTIVATION_BYTES,
                    EVENT_CAPACITY,
                    BODY_LIMIT,
                    HEADER_LIMIT,
                    CONNECTIONS,
                    IDLE_TIMEOUT,
                    DRAIN_TIMEOUT,
                    ADMIT_POLICY,
                    ADMIT_LIMIT,
                    ADMIT_INITIAL_LIMIT,
                    ADMIT_MAX_LIMIT,
                    ADMIT_QUEUE);

    private Options() {}
}
