package hyssopturn.place;

import hyssopturn.model.Address;
import hyssopturn.model.LayerRange;
import hyssopturn.model.RequestId;
import hyssopturn.port.EngineClient;
import hyssopturn.standin.Suspendable;

import java.util.concurrent.CompletableFuture;

/** Engine client of a simulated node that can pause the node just before it sends an order. */
final class PausingEngines implements EngineClient {
    private final EngineClient engines;
    private final Suspendable process;
    private int ordersUntilPause = -1;
    private int orders;

    PausingEngines(EngineClient engines, Suspendable process) {
        this.engines = engines;
        this.process = process;
    }

    /** Pauses the node just before the order that follows {@code count} more orders. */
    void pauseAfterOrders(int count) {
        ordersUntilPause = count;
    }

    int orders() {
        return orders;
    }

    @Override
    public CompletableFuture<Void> order(Address engine, Order order) {
        if (ordersUntilPause == 0) {
            process.pause();
        }
        ordersUntilPause--;
        orders++;
        CompletableFuture<Void> result = new CompletableFuture<>();
        process.run(
                () ->
                        engines.order(engine, order)
                                .whenComplete(
                                        (done, error) ->
                                                process.run(() -> complete(result, error))));
        return result;
    }

    private static void complete(CompletableFuture<Void> result, Throwable error) {
        if (error == null) {
            result.complete(null);
        } else {
            result.completeExceptionally(error);
        }
    }

    @Override
    public CompletableFuture<StepResult> step(Address engine, Step step, Dial dial) {
        return engines.step(engine, step, dial);
    }

    @Override
    public CompletableFuture<Void> cancel(Address engine, RequestId request, int attempt) {
        return engines.cancel(engine, request, attempt);
    }

    @Override
    public CompletableFuture<KvState> exportKv(
            Address engine, RequestId request, LayerRange layers) {
        return engines.exportKv(engine, request, layers);
    }

    @Override
    public CompletableFuture<Void> importKv(
            Address engine, RequestId request, int attempt, KvState state) {
        return engines.importKv(engine, request, attempt, state);
    }

    @Override
    public CompletableFuture<EngineReport> report(Address engine) {
        return engines.report(engine);
    }
}
