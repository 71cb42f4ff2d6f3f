package hyssopturn.port;

import hyssopturn.model.Address;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Liveness probe that checks whether a process listens at an address. */
public interface LivenessProbe {
    /**
     * Tries to connect, and closes the connection at once.
     *
     * <p>Silence alone does not tell a failed endpoint from a congested network of this node. The
     * reference tells them apart: it is tried at the same time as the silent endpoint.
     *
     * @param address the address
     * @param reference address of another endpoint, empty if there is none
     * @return what the probe has shown; does not fail
     */
    CompletableFuture<Liveness> probe(Address address, Optional<Address> reference);
}
