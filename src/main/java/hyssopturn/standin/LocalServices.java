package hyssopturn.standin;

import hyssopturn.model.Address;
import hyssopturn.port.EngineClient.Dial;
import hyssopturn.port.RefusedException;
import hyssopturn.port.ServiceClient;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** Service client that calls stand-in services in this process. */
public final class LocalServices implements ServiceClient {
    private final Map<Address, FakeService> services = new ConcurrentHashMap<>();

    /** Creates a client that knows no service. */
    public LocalServices() {}

    /**
     * Adds a service.
     *
     * @param at its address
     * @param service the service
     */
    public void add(Address at, FakeService service) {
        services.put(at, service);
    }

    /**
     * Takes a service away.
     *
     * @param at its address
     */
    public void remove(Address at) {
        services.remove(at);
    }

    @Override
    public CompletableFuture<ServiceAnswer> call(Address service, ServiceCall call, Dial dial) {
        FakeService target = services.get(service);
        if (target == null) {
            return CompletableFuture.failedFuture(
                    new RefusedException(
                            RefusedException.Reason.UNREACHABLE, "nobody listens at " + service));
        }
        return target.call(call);
    }
}
