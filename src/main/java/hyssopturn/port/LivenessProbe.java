package hyssopturn.port;

import hyssopturn.model.Address;

import java.util.concurrent.CompletableFuture;

/** Liveness probe that checks whether a process listens at an address. */
public interface LivenessProbe {
    /**
     * Tries to connect, and closes the connection at once.
     *
     * @param address the address
     * @return true if a connection was accepted, false if it was refused or timed out; does not
     *     fail
     */
    CompletableFuture<Boolean> listens(Address address);
}
