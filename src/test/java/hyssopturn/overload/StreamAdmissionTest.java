package hyssopturn.overload;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;

/** Guards against streams that are held without need or beyond their target. */
class StreamAdmissionTest {
    private static final long MILLI = 1_000_000;
    private static final Room FULL = new Room(10_000, 10_000, 1, true, 0);
    private static final Room HALF = new Room(10_000, 5_000, 1, true, 0);

    private final StreamAdmission admission = new StreamAdmission(new SplittableRandom(1));

    private static Ticket ticket(int priority, long arrivedMillis) {
        return new Ticket("a", priority, 1_000, arrivedMillis * MILLI, 500 * MILLI);
    }

    @Test
    void aStreamStartsAtOnceWhileThereIsRoom() {
        assertThat(admission.arrive(ticket(0, 0), HALF, 0), instanceOf(Decision.Start.class));
    }

    @Test
    void aStreamIsHeldUntilThereIsRoomAndTheMostUrgentIsFirst() {
        Ticket later = ticket(5, 0);
        Ticket urgent = ticket(0, 1);
        assertThat(admission.arrive(later, FULL, 0), instanceOf(Decision.Hold.class));
        assertThat(admission.arrive(urgent, FULL, MILLI), instanceOf(Decision.Hold.class));
        assertThat(admission.next(FULL, 2 * MILLI), is(Optional.empty()));
        admission.started(urgent, 3 * MILLI);
        assertThat(admission.next(HALF, 3 * MILLI), is(Optional.of(later)));
    }

    @Test
    void aStreamThatOthersWaitBesideIsRefusedWhenItsTargetCannotBeMet() {
        Ticket first = ticket(0, 0);
        admission.arrive(first, FULL, 0);
        admission.arrive(ticket(0, 300), FULL, 300 * MILLI);
        assertThat(admission.overdue(300 * MILLI), empty());
        assertThat(admission.overdue(450 * MILLI), contains(first));
    }

    @Test
    void aCallerIsToldToReturnWithinAThirdOfItsTime() {
        Ticket started = ticket(0, 0);
        admission.arrive(started, HALF, 0);
        admission.started(started, 0);
        Ticket refused = ticket(0, 0);
        admission.arrive(refused, FULL, 0);
        Optional<Duration> wait = admission.retryAfter(refused, Duration.ofMillis(300), 0);
        assertThat(wait.orElseThrow(), lessThanOrEqualTo(Duration.ofMillis(100)));
    }

    @Test
    void nothingIsPromisedWhileNoStreamHasStarted() {
        Ticket refused = ticket(0, 0);
        admission.arrive(refused, FULL, 0);
        assertThat(admission.retryAfter(refused, Duration.ofSeconds(9), 0), is(Optional.empty()));
    }
}
