package hyssopturn.cli;

import java.time.Duration;
import java.util.List;

/** Settings of a node on the users' platform. */
final class RouterOptions {
    private static final Duration MILLI = Duration.ofMillis(1);
    private static final Duration MINUTE = Duration.ofMinutes(1);
    private static final int MAX_NODES = 1_000;
    private static final int MAX_LINES = 100_000;
    private static final int MIN_MEMORY_PERCENT = 5;
    private static final int MAX_MEMORY_PERCENT = 50;
    private static final int MAX_CONNECTIONS = 1_000_000;
    private static final int MAX_UNREAD_MB = 65_536;

    static final Setting<String> CONFIG =
            new Setting<>(
                    "config",
                    new Kind.Name(),
                    "/etc/hyssopturn/node.toml",
                    "Settings file of the platform");
    static final Setting<Duration> CONNECT_TIMEOUT =
            new Setting<>(
                    "connect-timeout",
                    new Kind.Span(MILLI, MINUTE),
                    "300ms",
                    "Longest time to connect to an endpoint");
    static final Setting<Duration> FIRST_EVENT_CHECK =
            new Setting<>(
                    "first-event-check",
                    new Kind.Span(MILLI, MINUTE),
                    "150ms",
                    "Time without a first event after which all engines are checked for life");
    static final Setting<Duration> GAP_CHECK =
            new Setting<>(
                    "gap-check",
                    new Kind.Span(MILLI, MINUTE),
                    "55ms",
                    "Time without a further event after which all engines are checked for life");
    static final Setting<Duration> FIRST_EVENT_STALL =
            new Setting<>(
                    "first-event-stall",
                    new Kind.Span(MILLI, MINUTE),
                    "250ms",
                    "Time without a first event after which an engine is asked why");
    static final Setting<Duration> GAP_STALL =
            new Setting<>(
                    "gap-stall",
                    new Kind.Span(MILLI, MINUTE),
                    "120ms",
                    "Time without a further event after which an engine is asked why");
    static final Setting<Duration> RETRY_AFTER =
            new Setting<>(
                    "retry-after",
                    new Kind.Span(MILLI, MINUTE),
                    "1s",
                    "Time after which a refused caller should come back");
    static final Setting<Integer> NODES =
            new Setting<>(
                    "nodes",
                    new Kind.Whole(1, MAX_NODES),
                    "16",
                    "Nodes that are taken to run until the platform's log has told how many do");
    static final Setting<Integer> LOG_LINES =
            new Setting<>(
                    "log-lines",
                    new Kind.Whole(1, MAX_LINES),
                    "200",
                    "Greatest number of log lines in a second");

    static final Setting<Boolean> ADMISSION =
            new Setting<>(
                    "admission",
                    new Kind.Flag(),
                    "false",
                    "Whether new streams are held or refused while engines have no memory for"
                            + " them");
    static final Setting<Boolean> ZONE_CHOICE =
            new Setting<>(
                    "zone-choice",
                    new Kind.Flag(),
                    "false",
                    "Whether the load of other zones' clients decides where requests are sent");
    static final Setting<Integer> LOAD_NODES =
            new Setting<>(
                    "load-nodes",
                    new Kind.Whole(1, MAX_NODES),
                    "12",
                    "Number of nodes from which on they tell each other their loads");
    static final Setting<Integer> CALLER_MEMORY =
            new Setting<>(
                    "caller-memory",
                    new Kind.Whole(MIN_MEMORY_PERCENT, MAX_MEMORY_PERCENT),
                    "25",
                    "Part of the heap that callers may occupy together, in percent");
    static final Setting<Integer> CALLER_CONNECTIONS =
            new Setting<>(
                    "caller-connections",
                    new Kind.Whole(0, MAX_CONNECTIONS),
                    "0",
                    "Greatest number of callers' connections; 0 is three fifths of the"
                            + " descriptors, or of the sockets if those are fewer");

    static final Setting<Integer> CALLER_UNREAD_MB =
            new Setting<>(
                    "caller-unread-mb",
                    new Kind.Whole(0, MAX_UNREAD_MB),
                    "0",
                    "Megabytes that the system may hold of what callers sent and the node has not"
                            + " read; 0 is what the process leaves of its machine's memory");

    static final List<Setting<?>> ALL =
            List.of(
                    CONFIG,
                    CONNECT_TIMEOUT,
                    FIRST_EVENT_CHECK,
                    GAP_CHECK,
                    FIRST_EVENT_STALL,
                    GAP_STALL,
                    RETRY_AFTER,
                    NODES,
                    LOG_LINES,
                    ADMISSION,
                    ZONE_CHOICE,
                    LOAD_NODES,
                    CALLER_MEMORY,
                    CALLER_CONNECTIONS,
                    CALLER_UNREAD_MB);

    private RouterOptions() {}
}
