package hyssopturn.chain;

import static hyssopturn.chain.Engines.LARGE;
import static hyssopturn.chain.Engines.SPEC;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import hyssopturn.catalog.CallerLimits;
import hyssopturn.catalog.Catalog;
import hyssopturn.catalog.ServiceSpec;
import hyssopturn.fleet.Endpoint;
import hyssopturn.fleet.Evidence;
import hyssopturn.fleet.Roster;
import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.port.Duties;
import hyssopturn.port.EngineControl;
import hyssopturn.port.InDoubtException;
import hyssopturn.port.RefusedException;
import hyssopturn.standin.VirtualClock;
import hyssopturn.trace.TraceLog;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

class LayerControllerTest {
    private static final Duration WAIT = Duration.ofSeconds(4);
    private static final Duration READ_INTERVAL = Duration.ofSeconds(2);

    private final VirtualClock clock = new VirtualClock(0);
    private final Roster roster = new Roster();
    private final FakeDuties duties = new FakeDuties();
    private final FakeEngines engines = new FakeEngines();
    private final TraceLog trace =
            new TraceLog("n1", clock, OutputStream.nullOutputStream(), 1_000);
    private final Catalog catalog =
            new Catalog(
                    1,
                    List.of(),
                    List.of(
                            new ServiceSpec("drafters", Optional.of(SPEC)),
                            new ServiceSpec("writers", Optional.of(SPEC))),
                    Optional.empty(),
                    new CallerLimits(1, 1, Duration.ZERO, Duration.ZERO));
    private final LayerController controller =
            new LayerController(
                    () -> Optional.of(catalog),
                    roster,
                    READ_INTERVAL,
                    duties,
                    engines,
                    clock,
                    trace,
                    (assignment, until) -> {});

    /** Grants the placement duty to this node, or reports that another node holds it. */
    private static final class FakeDuties implements Duties {
        private OptionalLong fence = OptionalLong.empty();
        private boolean down;

        @Override
        public CompletableFuture<Assignment> join(Duration keep) {
            return down
                    ? CompletableFuture.failedFuture(new InDoubtException("down"))
                    : CompletableFuture.completedFuture(new Assignment(fence, 1, 1, Set.of(0)));
        }

        @Override
        public CompletableFuture<Map<Integer, Address>> owners() {
            return CompletableFuture.completedFuture(Map.of());
        }

        @Override
        public CompletableFuture<Void> leave() {
            return CompletableFuture.completedFuture(null);
        }
    }

    private record Order(InstanceId engine, LayerRange range, long fence) {}

    /** Records orders and returns the answer that a test sets. */
    private static final class FakeEngines implements EngineControl {
        private final List<Order> orders = new ArrayList<>();
        private Optional<InstanceId> failing = Optional.empty();
        private Optional<InstanceId> unreachable = Optional.empty();
        private CompletableFuture<OrderResult> answer =
                CompletableFuture.completedFuture(OrderResult.ACCEPTED);

        @Override
        public CompletableFuture<Map<String, Address>> stalled(Address engine) {
            return CompletableFuture.completedFuture(Map.of());
        }

        @Override
        public CompletableFuture<Boolean> reroute(
                Address engine, InstanceId id, String request, List<Hop> hops) {
            return CompletableFuture.completedFuture(false);
        }

        @Override
        public CompletableFuture<OrderResult> place(
                Address engine, InstanceId id, LayerRange range, Passing passing, long fence) {
            if (unreachable.equals(Optional.of(id))) {
                RefusedException.Reason reason = RefusedException.Reason.UNREACHABLE;
                return CompletableFuture.failedFuture(new RefusedException(reason, "timed out"));
            }
            if (failing.equals(Optional.of(id))) {
                throw new IllegalStateException("order failed at once");
            }
            orders.add(new Order(id, range, fence));
            return answer;
        }
    }

    @AfterEach
    void close() {
        trace.close();
    }

    private void announce(Endpoint endpoint) {
        roster.announce(endpoint, clock.nanos());
    }

    private void announceFive() {
        for (int i = 0; i < 5; i++) {
            announce(Engines.empty("e" + i, "a", LARGE));
        }
    }

    @Nested
    class DutyHolder {
        @Test
        void ordersEveryEmptyEngineOnce() {
            duties.fence = OptionalLong.of(3);
            announceFive();
            controller.start();
            clock.advance(WAIT);
            assertThat(engines.orders, hasSize(5));
            assertThat(engines.orders.stream().map(Order::fence).toList(), everyItem(equalTo(3L)));
        }

        /** One announcement of layers that the model does not have ended all placement for good. */
        @Test
        void placesLayersThoughAnEngineAnnouncesLayersThatDoNotExist() {
            duties.fence = OptionalLong.of(3);
            announce(Engines.holding("odd", "a", LARGE, 70, 1_000));
            announce(Engines.empty("e1", "a", LARGE));
            controller.start();
            clock.advance(WAIT);
            announce(Engines.empty("e2", "a", LARGE));
            clock.advance(WAIT);
            assertThat(
                    engines.orders.stream().map(order -> order.engine().value()).toList(),
                    contains("e1", "e2"));
        }

        /** Guards against orders to an engine within the pause that it asked for. */
        @Test
        void pausedEngineIsOrderedAfterItsPause() {
            duties.fence = OptionalLong.of(3);
            announceFive();
            Endpoint paused = Engines.empty("e0", "a", LARGE);
            roster.pause(paused, WAIT.multipliedBy(2), clock.nanos());
            controller.start();
            clock.advance(WAIT);
            assertThat(engines.orders, hasSize(4));
            clock.advance(WAIT.multipliedBy(2));
            assertThat(engines.orders, hasSize(5));
        }

        @Test
        void ordersOtherEnginesThoughAnOrderToOneFailsAtOnce() {
            duties.fence = OptionalLong.of(3);
            announceFive();
            engines.failing = Optional.of(new InstanceId("e0"));
            controller.start();
            clock.advance(WAIT);
            assertThat(engines.orders, hasSize(4));
        }

        /**
         * Guards against layers that are missing for as long as an order to a dead engine is open.
         */
        @Test
        void layersOfAnEngineThatNoOrderReachesAreOrderedElsewhere() {
            duties.fence = OptionalLong.of(3);
            announceFive();
            engines.unreachable = Optional.of(new InstanceId("e0"));
            controller.start();
            clock.advance(WAIT);
            Set<InstanceId> ordered =
                    engines.orders.stream().map(Order::engine).collect(Collectors.toSet());
            assertThat(ordered, hasSize(4));
            assertThat(roster.suspected(Engines.empty("e0", "a", LARGE), clock.nanos()), is(true));
        }

        /** Guards against plans without an engine that answers late since it was given an order. */
        @Test
        void anEngineThatIsSilentDuringItsOrderIsNotReplaced() {
            duties.fence = OptionalLong.of(3);
            announceFive();
            controller.start();
            clock.advance(WAIT);
            InstanceId silent = new InstanceId("e1");
            roster.suspect(silent, 1, Evidence.UNRESPONSIVE, clock.nanos());
            clock.advance(Duration.ofSeconds(1));
            assertThat(engines.orders, hasSize(5));
        }

        @Test
        void waitsForNewEnginesToSettle() {
            duties.fence = OptionalLong.of(3);
            announceFive();
            controller.start();
            clock.advance(Duration.ofSeconds(1));
            assertThat(engines.orders, empty());
        }

        @Test
        void enginesOfTheNextReadArePartOfTheFirstPlan() {
            duties.fence = OptionalLong.of(3);
            announce(Engines.empty("e0", "a", LARGE));
            announce(Engines.empty("e1", "a", LARGE));
            controller.start();
            clock.advance(READ_INTERVAL);
            assertThat(engines.orders, empty());
            announceFive();
            clock.advance(WAIT);
            assertThat(engines.orders, equalTo(ordersOfAPlanForFive()));
        }

        private List<Order> ordersOfAPlanForFive() {
            return new LayerPlanner(SPEC)
                    .plan(roster.stable("writers", clock.nanos())).stream()
                            .map(a -> new Order(a.engine().id(), a.range(), 3))
                            .toList();
        }

        @Test
        void newHolderDoesNotWaitForEnginesThatItHasKnownForLong() {
            announceFive();
            controller.start();
            clock.advance(WAIT);
            duties.fence = OptionalLong.of(3);
            clock.advance(Duration.ofMillis(1_250));
            assertThat(engines.orders, hasSize(5));
        }

        @Test
        void doesNotRepeatAnOrderThatMayStillBeCarriedOut() {
            duties.fence = OptionalLong.of(3);
            engines.answer = CompletableFuture.failedFuture(new InDoubtException("silent"));
            announceFive();
            controller.start();
            clock.advance(Duration.ofSeconds(12));
            assertThat(engines.orders, hasSize(5));
            clock.advance(Duration.ofSeconds(4));
            assertThat(engines.orders.size(), greaterThan(5));
        }

        @Test
        void ordersARestartedEngineAgain() {
            duties.fence = OptionalLong.of(3);
            announceFive();
            controller.start();
            clock.advance(WAIT);
            Endpoint old = Engines.empty("e0", "a", LARGE);
            announce(
                    new Endpoint(
                            old.id(),
                            old.service(),
                            old.address(),
                            old.zone(),
                            old.slots(),
                            false,
                            LARGE,
                            Optional.empty(),
                            2,
                            1));
            clock.advance(WAIT);
            assertThat(engines.orders, hasSize(6));
        }
    }

    @Nested
    class WithoutTheDuty {
        @Test
        void noOrderIsSent() {
            announceFive();
            controller.start();
            clock.advance(WAIT);
            assertThat(engines.orders, empty());
        }

        @Test
        void ordersEndWhenTheDutyCannotBeConfirmed() {
            duties.fence = OptionalLong.of(3);
            controller.start();
            clock.advance(WAIT);
            duties.down = true;
            clock.advance(WAIT);
            announceFive();
            clock.advance(WAIT);
            assertThat(engines.orders, empty());
        }

        @Test
        void aFencedTokenIsNotUsedAgain() {
            duties.fence = OptionalLong.of(3);
            engines.answer = CompletableFuture.completedFuture(EngineControl.OrderResult.FENCED);
            announceFive();
            controller.start();
            clock.advance(WAIT);
            int sent = engines.orders.size();
            clock.advance(WAIT);
            assertThat(engines.orders, hasSize(sent));
            duties.fence = OptionalLong.of(4);
            engines.answer = CompletableFuture.completedFuture(EngineControl.OrderResult.ACCEPTED);
            clock.advance(WAIT);
            assertThat(engines.orders.getLast().fence(), equalTo(4L));
        }
    }
}
