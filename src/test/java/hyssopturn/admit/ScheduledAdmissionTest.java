package hyssopturn.admit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import hyssopturn.model.WorkClass;
import hyssopturn.standin.VirtualClock;

import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

class ScheduledAdmissionTest {
    private static final WorkClass SHEET = Tickets.stream("sheet", 1_000);
    private static final Admission.Usage UNUSED = new Admission.Usage(false, 0, Duration.ZERO);

    private final VirtualClock clock = new VirtualClock(0);

    private ScheduledAdmission admission(int limit) {
        return new ScheduledAdmission(
                new AdmitSettings(Policy.FAIR, LimitKind.FIXED, limit, limit, 50_000), clock);
    }

    private CompletableFuture<Admission.Permit> admit(
            ScheduledAdmission admission, String account) {
        return admission.admit(Tickets.request(account, SHEET, 20, clock.nanos()));
    }

    @Test
    void refusesAWaitingRequestOnceItCannotStartInTime() {
        ScheduledAdmission admission = admission(1);
        admit(admission, "ana");
        CompletableFuture<Admission.Permit> waiting = admit(admission, "eva");
        clock.advance(Duration.ofSeconds(1));
        assertThat(waiting.isDone(), is(false));
        clock.advance(Duration.ofMillis(1));
        Throwable error = waiting.handle((permit, e) -> e).join();
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        assertThat(cause, is(instanceOf(AdmissionRefusedException.class)));
        assertThat(admission.waiting(), is(0));
    }

    @Test
    void aCancelledRequestLeavesTheQueue() {
        ScheduledAdmission admission = admission(1);
        CompletableFuture<Admission.Permit> running = admit(admission, "ana");
        CompletableFuture<Admission.Permit> cancelled = admit(admission, "eva");
        CompletableFuture<Admission.Permit> next = admit(admission, "lia");
        cancelled.cancel(false);
        assertThat(admission.waiting(), is(1));
        running.join().release(UNUSED);
        assertThat(next.isDone(), is(true));
    }

    @Test
    void releaseInTheStartCallbackDoesNotRecurse() {
        ScheduledAdmission admission = admission(1);
        CompletableFuture<Admission.Permit> running = admit(admission, "ana");
        AtomicInteger started = new AtomicInteger();
        for (int i = 0; i < 20_000; i++) {
            admit(admission, "eva")
                    .thenAccept(
                            permit -> {
                                started.incrementAndGet();
                                permit.release(UNUSED);
                            });
        }
        running.join().release(UNUSED);
        assertThat(started.get(), is(20_000));
    }

    @Test
    void manyThreadsNeverRunMoreThanTheLimit() throws Exception {
        ScheduledAdmission admission = admission(5);
        AtomicInteger running = new AtomicInteger();
        AtomicInteger maxRunning = new AtomicInteger();
        AtomicInteger done = new AtomicInteger();
        try (ExecutorService threads = Executors.newFixedThreadPool(4)) {
            List<Future<?>> futures = new ArrayList<>();
            for (int t = 0; t < 4; t++) {
                String account = "account-" + t;
                futures.add(
                        threads.submit(
                                () -> {
                                    for (int i = 0; i < 2_000; i++) {
                                        admit(admission, account)
                                                .thenAccept(
                                                        permit -> {
                                                            int now = running.incrementAndGet();
                                                            maxRunning.accumulateAndGet(
                                                                    now, Math::max);
                                                            running.decrementAndGet();
                                                            done.incrementAndGet();
                                                            permit.release(UNUSED);
                                                        });
                                    }
                                }));
            }
            for (Future<?> future : futures) {
                future.get();
            }
        }
        assertThat(done.get(), is(8_000));
        assertThat(maxRunning.get() <= 5, is(true));
        assertThat(admission.running() + admission.waiting(), is(0));
    }
}
