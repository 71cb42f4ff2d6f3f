package hyssopturn.limit;

import hyssopturn.fleet.Endpoint;
import hyssopturn.limit.LimitMessage.Verdict;
import hyssopturn.model.Address;
import hyssopturn.port.Clock;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * Limits that endpoints named, as this node knows them, and the grants under which it sends
 * requests to such endpoints.
 *
 * <p>The platform assigns partitions to the nodes; the node that holds an endpoint's partition
 * issues the grants for it. This node asks it before each request, and leaves the endpoint alone
 * for a while when it is told that there is no room. Not thread-safe; owned by one event loop.
 */
public final class EndpointLimits {
    /** Time within which an issuer must answer. */
    static final Duration REPLY_TIMEOUT = Duration.ofMillis(100);

    /** Time for which an endpoint is left alone whose issuer is not known or did not answer. */
    private static final Duration UNKNOWN_PAUSE = Duration.ofMillis(50);

    /** Number of nodes that a node asks for what they know when it starts. */
    private static final int MAX_HELLOS = 2;

    private final Address self;
    private final Clock clock;
    private final RandomGenerator random;
    private final LimitChannel channel;
    private final GrantIssuer issuer;
    private final IssuerDirectory directory;
    private final OwnParts own;
    private final KnownLimits known = new KnownLimits();
    private final Map<Long, Question> questions = new HashMap<>();
    private long lastQuestion;

    private record Question(
            EndpointStart start,
            Address issuer,
            CompletableFuture<Boolean> granted,
            Clock.Timer timeout) {}

    /**
     * Creates limits of which none is known.
     *
     * @param self address at which other nodes reach this one
     * @param partitions number of partitions that the platform assigns to the nodes
     * @param clock clock and timers
     * @param random source of the spread of questions
     * @param channel sends messages to other nodes
     */
    public EndpointLimits(
            Address self,
            int partitions,
            Clock clock,
            RandomGenerator random,
            LimitChannel channel) {
        this.self = self;
        this.clock = clock;
        this.random = random;
        this.channel = channel;
        directory = new IssuerDirectory(partitions);
        issuer = new GrantIssuer(partitions, random, directory);
        own = new OwnParts(partitions, clock);
    }

    /**
     * Sets the partitions that the platform assigned to this node.
     *
     * @param partitions numbers of the partitions
     * @param untilNanos time until which no other node can hold them
     */
    public void assign(Set<Integer> partitions, long untilNanos) {
        issuer.assign(partitions, untilNanos);
        own.assign(partitions, untilNanos);
    }

    /**
     * Sets which node holds each partition.
     *
     * @param owners addresses of the nodes by the number of the partition
     */
    public void owners(Map<Integer, Address> owners) {
        boolean first = directory.nodes().isEmpty();
        directory.update(owners);
        if (first) {
            askOthers();
        }
        reopen();
    }

    /** Uses endpoints again that were left alone for lack of an issuer, if there is one now. */
    private void reopen() {
        long now = clock.nanos();
        own.missing().stream()
                .filter(start -> find(start, now).isPresent())
                .forEach(start -> known.close(start, now));
    }

    /** Returns the node to ask for a grant; what this node was assigned itself counts first. */
    private Optional<IssuerDirectory.Issuer> find(EndpointStart start, long now) {
        return issuer.confirmed(start, now)
                ? Optional.of(new IssuerDirectory.Issuer(self, false))
                : directory.find(start, now);
    }

    /** Asks a few nodes for what they know, since a node that has just started knows no limits. */
    private void askOthers() {
        List<Address> others = new ArrayList<>(directory.nodes());
        others.remove(self);
        for (int i = 0; i < MAX_HELLOS && !others.isEmpty(); i++) {
            Address other = others.remove(random.nextInt(others.size()));
            channel.send(other, new LimitMessage.Hello());
        }
    }

    private void tellKnown(Address to) {
        long now = clock.nanos();
        known.forEachInUse(
                now,
                (start, named) -> channel.send(to, new LimitMessage.Heard(start, named.tell(now))));
    }

    /**
     * Returns whether a limit was heard of a short time ago.
     *
     * @return true if any endpoint in use has a limit
     */
    public boolean active() {
        return count() > 0;
    }

    /**
     * Counts the endpoints with a limit.
     *
     * @return number of endpoints in use that have a limit
     */
    public long count() {
        return known.count(clock.nanos());
    }

    /**
     * Counts the endpoints to which this node sends its own part of the limit, since none that
     * issues grants can be found or reached.
     *
     * @return number of endpoints that were asked for a short time ago
     */
    public long unissued() {
        return own.count();
    }

    /**
     * Counts the requests that were sent without a grant, as this node's own part of a limit.
     *
     * @return number since the start of the node
     */
    public long sentUnissued() {
        return own.taken();
    }

    /**
     * Returns whether the known holders of the partitions should be read again now.
     *
     * @return true if one of them said that it is none any more, or none is known
     */
    public boolean ownersOutdated() {
        return directory.outdated();
    }

    /**
     * Returns the limit of an endpoint.
     *
     * @param endpoint the endpoint
     * @return requests per second of all nodes together, empty if it has no limit
     */
    public OptionalDouble limit(Endpoint endpoint) {
        return known.named(EndpointStart.of(endpoint))
                .map(NamedLimit::perSecond)
                .orElse(OptionalDouble.empty());
    }

    /**
     * Returns the time until an endpoint may have room again.
     *
     * @param endpoint the endpoint
     * @return the time left, empty if it may have room now
     */
    public Optional<Duration> closedFor(Endpoint endpoint) {
        return known.closedFor(EndpointStart.of(endpoint), clock.nanos());
    }

    /**
     * Notes what an answer of an endpoint says about its limit.
     *
     * @param endpoint the endpoint as it was used
     * @param notice what the answer says
     * @param begunNanos time at which the request was sent
     * @return true if the limit is another one now
     */
    public boolean note(Endpoint endpoint, LimitNotice notice, long begunNanos) {
        return switch (notice) {
            case LimitNotice.Unsaid unsaid -> false;
            case LimitNotice.Unlimited unlimited ->
                    note(endpoint, OptionalDouble.empty(), begunNanos);
            case LimitNotice.Limited limited ->
                    note(endpoint, OptionalDouble.of(limited.perSecond()), begunNanos);
        };
    }

    private boolean note(Endpoint endpoint, OptionalDouble perSecond, long begunNanos) {
        EndpointStart start = EndpointStart.of(endpoint);
        Optional<NamedLimit> before = known.named(start);
        if (before.isEmpty() && perSecond.isEmpty()) {
            return false;
        }
        long now = clock.nanos();
        NamedLimit after = NamedLimit.afterAnswer(before, perSecond, begunNanos, now);
        known.put(start, after, now);
        OptionalDouble earlier = before.map(NamedLimit::perSecond).orElse(OptionalDouble.empty());
        if (after.perSecond().equals(earlier)) {
            return false;
        }
        tellIssuer(start, after, now);
        return true;
    }

    private void tellIssuer(EndpointStart start, NamedLimit named, long now) {
        Optional<Address> to = find(start, now).map(IssuerDirectory.Issuer::address);
        if (to.equals(Optional.of(self))) {
            hearAsIssuer(start, named.tell(now));
        } else {
            to.ifPresent(a -> channel.send(a, new LimitMessage.Heard(start, named.tell(now))));
        }
    }

    /** Notes what was heard, and tells all nodes if it is news and this node is the issuer. */
    private void hearAsIssuer(EndpointStart start, HeardLimit heard) {
        long now = clock.nanos();
        issuer.hear(start, heard, now);
        if (directory.owner(start).equals(Optional.of(self))) {
            issuer.takeNews(start).ifPresent(news -> tellAll(start, news.tell(now)));
        }
    }

    private void tellAll(EndpointStart start, HeardLimit news) {
        directory.nodes().stream()
                .filter(node -> !node.equals(self))
                .forEach(node -> channel.send(node, new LimitMessage.Heard(start, news)));
    }

    /**
     * Asks whether one request may be sent to an endpoint.
     *
     * @param endpoint the endpoint
     * @return true if it may be sent now, false if the endpoint's limit, or this node's part of it,
     *     is reached
     */
    public CompletableFuture<Boolean> acquire(Endpoint endpoint) {
        EndpointStart start = EndpointStart.of(endpoint);
        Optional<NamedLimit> named = known.named(start).filter(NamedLimit::limited);
        if (named.isEmpty()) {
            return CompletableFuture.completedFuture(true);
        }
        long now = clock.nanos();
        Optional<IssuerDirectory.Issuer> found = find(start, now);
        if (found.isEmpty()) {
            return CompletableFuture.completedFuture(tryOwnPart(start, named.get()));
        }
        return ask(start, named.get(), found.get(), now);
    }

    private boolean tryOwnPart(EndpointStart start, NamedLimit named) {
        own.recordMissing(start);
        Duration wait = own.take(start, GrantIssuer.rate(named));
        close(start, wait);
        return wait.isZero();
    }

    private CompletableFuture<Boolean> ask(
            EndpointStart start, NamedLimit named, IssuerDirectory.Issuer to, long now) {
        long id = ++lastQuestion;
        LimitMessage.Ask ask = new LimitMessage.Ask(id, start, named.tell(now), to.deputy());
        CompletableFuture<Boolean> granted = new CompletableFuture<>();
        Clock.Timer timeout = clock.after(REPLY_TIMEOUT, () -> expire(id));
        questions.put(id, new Question(start, to.address(), granted, timeout));
        if (to.address().equals(self)) {
            receive(answer(self, ask));
        } else {
            channel.send(to.address(), ask);
        }
        return granted;
    }

    private void expire(long id) {
        Question question = questions.remove(id);
        if (question != null) {
            directory.recordSilence(question.issuer(), clock.nanos());
            Optional<NamedLimit> named = known.named(question.start()).filter(NamedLimit::limited);
            boolean sends = named.filter(n -> tryOwnPart(question.start(), n)).isPresent();
            question.granted().complete(sends);
        }
    }

    /**
     * Handles a message of another node.
     *
     * @param from address of the sender
     * @param message the message
     */
    public void receive(Address from, LimitMessage message) {
        switch (message) {
            case LimitMessage.Hello hello -> tellKnown(from);
            case LimitMessage.Heard heard -> {
                learn(heard.start(), heard.heard());
                hearAsIssuer(heard.start(), heard.heard());
            }
            case LimitMessage.Ask ask -> channel.send(from, answer(from, ask));
            case LimitMessage.Reply reply -> receive(reply);
        }
    }

    private LimitMessage.Reply answer(Address from, LimitMessage.Ask ask) {
        hearAsIssuer(ask.start(), ask.heard());
        LimitMessage.Reply reply = issuer.answer(from, ask, clock.nanos());
        if (reply.verdict() != Verdict.NOT_ISSUER) {
            return reply;
        }
        Optional<Address> other = directory.owner(ask.start()).filter(a -> !a.equals(self));
        return reply.redirectedTo(other);
    }

    private void learn(EndpointStart start, HeardLimit heard) {
        long now = clock.nanos();
        known.put(start, NamedLimit.afterMessage(known.named(start), heard, now), now);
    }

    private void receive(LimitMessage.Reply reply) {
        Question question = questions.remove(reply.id());
        if (question == null || !question.start().equals(reply.start())) {
            return;
        }
        question.timeout().cancel();
        directory.recordReply(question.issuer());
        learn(reply.start(), reply.heard());
        if (reply.verdict() == Verdict.NOT_ISSUER) {
            own.recordMissing(reply.start());
        } else {
            own.recordAnswer(reply.start());
        }
        switch (reply.verdict()) {
            case GRANTED -> {
                // the endpoint stays open
            }
            case NO_ROOM -> close(reply.start(), reply.pause());
            case NOT_ISSUER -> {
                directory.redirect(reply.start(), reply.issuer());
                close(reply.start(), UNKNOWN_PAUSE);
            }
        }
        question.granted().complete(reply.verdict() == Verdict.GRANTED);
    }

    private void close(EndpointStart start, Duration pause) {
        known.close(start, clock.nanos() + pause.toNanos());
    }
}
