package hyssopturn.filter;

import hyssopturn.model.AnswerEvent;
import hyssopturn.model.AnswerEvent.End;
import hyssopturn.model.Reason;

import io.smallrye.mutiny.Multi;

import java.util.concurrent.CompletableFuture;

/** Counts requests in progress, and refuses new ones while the node shuts down. */
public final class DrainFilter implements Filter {
    private final CompletableFuture<Void> idle = new CompletableFuture<>();
    private int running;
    private boolean draining;

    /** Creates the filter. */
    public DrainFilter() {}

    @Override
    public Multi<AnswerEvent> apply(Exchange exchange, Next next) {
        if (!enter()) {
            return Multi.createFrom()
                    .item(End.notRun(Reason.DRAINING, "this node is shutting down"));
        }
        return next.proceed(exchange).onTermination().invoke(this::leave);
    }

    private synchronized boolean enter() {
        if (draining) {
            return false;
        }
        running++;
        return true;
    }

    private void leave() {
        boolean last;
        synchronized (this) {
            running--;
            last = draining && running == 0;
        }
        if (last) {
            idle.complete(null);
        }
    }

    /**
     * Refuses new requests from now on.
     *
     * @return completes when no request is in progress
     */
    public CompletableFuture<Void> drain() {
        boolean noneRunning;
        synchronized (this) {
            draining = true;
            noneRunning = running == 0;
        }
        if (noneRunning) {
            idle.complete(null);
        }
        return idle;
    }

    /**
     * Returns whether the node is shutting down.
     *
     * @return true once it drains
     */
    public synchronized boolean draining() {
        return draining;
    }

    /**
     * Counts requests in progress.
     *
     * @return number of requests
     */
    public synchronized int running() {
        return running;
    }
}
