package hyssopturn.filter;

import hyssopturn.model.AnswerEvent;
import hyssopturn.model.AnswerEvent.End;
import hyssopturn.model.ModelSpec;
import hyssopturn.model.Reason;
import hyssopturn.model.Work;
import hyssopturn.port.ServiceClient.ServiceCall;
import hyssopturn.run.Driver;
import hyssopturn.run.Generation;
import hyssopturn.run.Prompt;
import hyssopturn.run.ServiceDriver;
import hyssopturn.run.ServiceWork;

import io.smallrye.mutiny.Multi;

import java.util.Optional;

/** Last filter: runs the request on engines or a service. */
public final class RunFilter implements Filter {
    private static final int PREFIX_TOKENS = 64;

    private final Driver driver;
    private final ServiceDriver services;

    /**
     * Creates the filter.
     *
     * @param driver runs generations
     * @param services calls services
     */
    public RunFilter(Driver driver, ServiceDriver services) {
        this.driver = driver;
        this.services = services;
    }

    @Override
    public Multi<AnswerEvent> apply(Exchange exchange, Next next) {
        return switch (exchange.workClass().work()) {
            case Work.Generate(String model) ->
                    generate(exchange, model, (Exchange.Input.Text) exchange.call().input());
            case Work.Call(String service, boolean repeatable) ->
                    services.run(
                            new ServiceWork(
                                    service,
                                    call(exchange),
                                    repeatable,
                                    exchange.maySend(),
                                    deadline(exchange)));
        };
    }

    private static ServiceCall call(Exchange exchange) {
        return new ServiceCall(
                exchange.request(),
                exchange.account(),
                exchange.workClass().name(),
                exchange.call().key(),
                ((Exchange.Input.Json) exchange.call().input()).body());
    }

    private static long deadline(Exchange exchange) {
        return exchange.arrivedNanos() + exchange.workClass().target().first().toNanos();
    }

    private Multi<AnswerEvent> generate(
            Exchange exchange, String model, Exchange.Input.Text input) {
        Optional<ModelSpec> spec = exchange.config().model(model);
        if (spec.isEmpty()) {
            return Multi.createFrom().item(End.notRun(Reason.NO_ENDPOINT, "no model " + model));
        }
        Prompt prompt = Prompt.of(input.prompt());
        return driver.run(
                new Generation(
                        exchange.request(),
                        exchange.account(),
                        exchange.workClass(),
                        spec.get(),
                        prompt,
                        prompt.prefix(PREFIX_TOKENS),
                        input.maxTokens(),
                        exchange.arrivedNanos()));
    }
}
