package hyssopturn.place;

import hyssopturn.model.Address;
import hyssopturn.model.LayerRange;
import hyssopturn.model.RequestId;
import hyssopturn.port.EngineClient;
import hyssopturn.standin.Suspendable;

import java.util.concurrent.CompletableFuture;

/** Engine client of one simulated node, which can freeze the node just before an order leaves. */
final class GatedEngines implements EngineClient {
    private final EngineClient engines;
    private final Suspendable process;
    private int untilFreeze = -1;
    private int orders;

    GatedEngines(EngineClient engines, Suspendable process) {
        this.engines = engines;
        this.process = process;
    }

    /** Freezes the node just before the order after so many more. */
    void freezeBefore(int count) {
        untilFreeze = count;
    }

    int orders() {
        return orders;
    }

    @Override
    public CompletableFuture<Void> order(Address engine, Order order) {
        if (untilFreeze == 0) {
            process.pause();
        }
        untilFreeze--;
        orders++;
        CompletableFuture<Void> answer = new CompletableFuture<>();
        process.run(
                () ->
                        engines.order(engine, order)
                                .whenComplete(
                                        (done, error) ->
                                                process.run(() -> complete(answer, error))));
        return answer;
    }

    private static void complete(CompletableFuture<Void> answer, Throwable error) {
        if (error == null) {
            answer.complete(null);
        } else {
            answer.completeExceptionally(error);
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
