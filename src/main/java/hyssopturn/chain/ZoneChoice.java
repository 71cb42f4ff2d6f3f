package hyssopturn.chain;

import hyssopturn.catalog.EngineSpec;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Decides in which order a request tries its own zone, other zones and chains over several zones.
 *
 * <p>Every way is given a cost in milliseconds of the client's time: the expected time to the first
 * event, more for what is beyond the target, the delay of each token, and the bytes that pass
 * between zones. A request stays in its own zone unless {@link ZonePlan} draws it for another zone
 * and that zone costs less. Other zones that have room, and then chains over several zones, serve
 * requests for which the own zone has no chain.
 */
public final class ZoneChoice {
    /** Delay of a message from one zone to another. */
    private static final double ZONE_DELAY_MILLIS = 1;

    /** Cost of a megabyte that passes between zones. */
    private static final double MILLIS_PER_MEGABYTE = 10;

    /** Cost of a millisecond after the target relative to one before it. */
    private static final double LATE_FACTOR = 10;

    /** Time over which demand beyond the capacity adds to a zone's queue before it is noticed. */
    private static final double GROWTH_SECONDS = 1;

    /** Bytes of a prompt's token and of an event, with its share of the message's head. */
    private static final double TOKEN_BYTES = 6;

    private static final double EVENT_BYTES = 120;

    /** Assumed number of prompt transfers in the queue of a link, this one included. */
    private static final double LINK_QUEUE_TRANSFERS = 4;

    /** Greatest late part that a mean wait is computed from, so that it stays finite. */
    private static final double MAX_LATE_PART = 0.99;

    /** Expected time to the first event in a zone that lacks a layer; sums of it stay finite. */
    private static final double NEVER_MILLIS = 1e9;

    private static final double MILLIS = 1_000;
    private static final double BYTES_PER_MEGABYTE = 1_000_000;

    private final EngineSpec spec;
    private final ZonePlan plan;
    private final Request request;

    /**
     * Creates a choice for one request.
     *
     * @param spec sizes and speeds of the engines
     * @param plan what is known of the zones, and the parts to send to each
     * @param request the request
     */
    public ZoneChoice(EngineSpec spec, ZonePlan plan, Request request) {
        this.spec = spec;
        this.plan = plan;
        this.request = request;
    }

    /**
     * What the choice depends on of a request.
     *
     * @param size number of tokens
     * @param target target of the time to the first event
     * @param priority priority, 0 is the most urgent
     */
    public record Request(ChainSearch.Size size, Duration target, int priority) {}

    /** Where the engines of a request's chain are. */
    public sealed interface Reach {
        /**
         * All in one zone.
         *
         * @param name the zone
         */
        record Zone(String name) implements Reach {}

        /** In several zones. */
        record Several() implements Reach {}
    }

    /**
     * A way to serve the request, with its expected cost.
     *
     * @param reach where the engines are
     * @param firstMillis expected time to the first event, in milliseconds
     * @param tokenMillis delay that is added to each token, in milliseconds
     * @param bytes bytes that pass between zones
     * @param cost all of it, in milliseconds
     * @param hasRoom whether it takes no capacity that the zone's own clients want
     */
    public record Way(
            Reach reach,
            double firstMillis,
            double tokenMillis,
            double bytes,
            double cost,
            boolean hasRoom) {}

    /**
     * Returns the ways to serve the request in the order in which to try them.
     *
     * @param draw random number from 0 to below 1
     * @return the ways, each at most once
     */
    public List<Way> order(double draw) {
        Way own = own();
        Optional<Way> drawn =
                plan.draw(request.priority, draw)
                        .flatMap(plan::other)
                        .map(other -> elsewhere(other.state()))
                        .filter(way -> way.cost < own.cost);
        List<Way> ways = new ArrayList<>();
        drawn.ifPresent(ways::add);
        ways.add(own);
        plan.others().stream()
                .map(other -> elsewhere(other.state()))
                .filter(way -> !ways.contains(way))
                .sorted(
                        Comparator.comparing((Way way) -> !way.hasRoom)
                                .thenComparingDouble(Way::cost))
                .forEach(ways::add);
        ways.add(overSeveralZones());
        return ways;
    }

    /**
     * Estimates the bytes that a request causes between zones.
     *
     * @param size size of the request
     * @param crossings number of links between zones within the chain; 0 if only the request and
     *     its events pass between zones
     * @param spec sizes and speeds
     * @return number of bytes
     */
    public static double bytes(ChainSearch.Size size, int crossings, EngineSpec spec) {
        return crossings == 0
                ? size.promptTokens() * TOKEN_BYTES + size.answerTokens() * EVENT_BYTES
                : crossings * size.tokens() * spec.activationBytes();
    }

    private Way own() {
        ZoneState own = plan.own();
        return way(new Reach.Zone(own.zone()), expectedFirst(own), 0, 0, true);
    }

    private Way elsewhere(ZoneState state) {
        double bytes = bytes(request.size, 0, spec);
        double first =
                expectedFirst(state)
                        + 2 * ZONE_DELAY_MILLIS
                        + linkMillis(request.size.promptTokens() * TOKEN_BYTES);
        return way(new Reach.Zone(state.zone()), first, 0, bytes, ZoneBalance.room(state) > 0);
    }

    /** Returns the way over one link between zones, on which each token comes and goes. */
    private Way overSeveralZones() {
        double least = expectedFirst(plan.own());
        for (ZonePlan.Neighbour other : plan.others()) {
            least = Math.min(least, expectedFirst(other.state()));
        }
        double prompt = request.size.promptTokens() * spec.activationBytes();
        double bytes = bytes(request.size, 1, spec);
        double first = least + 2 * ZONE_DELAY_MILLIS + LINK_QUEUE_TRANSFERS * linkMillis(prompt);
        double token = 2 * ZONE_DELAY_MILLIS + linkMillis(spec.activationBytes());
        boolean room = plan.others().stream().anyMatch(n -> ZoneBalance.room(n.state()) > 0);
        return way(new Reach.Several(), first, token, bytes, room);
    }

    private Way way(Reach reach, double first, double token, double bytes, boolean room) {
        double late = Math.max(0, first - request.target.toMillis());
        double cost =
                first
                        + LATE_FACTOR * late
                        + token * request.size.answerTokens()
                        + bytes / BYTES_PER_MEGABYTE * MILLIS_PER_MEGABYTE;
        return new Way(reach, first, token, bytes, cost, room);
    }

    private double linkMillis(double bytes) {
        return InterZoneBudget.linkMillis(bytes, spec);
    }

    /**
     * Returns the expected time to the first event in a zone: the time to read the prompt, and the
     * wait for the streams that are held or ask for more than the zone can serve. If many first
     * events come late, the wait is at least the mean of an exponential distribution that is late
     * as often.
     */
    private double expectedFirst(ZoneState state) {
        double capacity = state.capacityPerSecond();
        if (capacity <= 0) {
            return NEVER_MILLIS;
        }
        double excess = Math.max(0, state.demandPerSecond() - capacity) * GROWTH_SECONDS;
        double queued = (state.held() + excess) / capacity * MILLIS;
        double late = Math.min(state.latePart(), MAX_LATE_PART);
        double seen = late > 0 ? request.target.toMillis() / -Math.log(late) : 0;
        double scale = request.size.promptTokens() / Math.max(1, spec.meanPromptTokens());
        return state.firstMillis() * Math.max(1, scale) + Math.max(queued, seen);
    }
}
