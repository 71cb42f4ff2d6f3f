package hyssopturn.node;

import hyssopturn.model.Address;
import hyssopturn.port.Liveness;
import hyssopturn.port.LivenessProbe;
import hyssopturn.tunnel.EndpointConnector;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Liveness probe that asks other nodes about an endpoint which this one does not reach: an endpoint
 * that they reach listens, and this node has lost its link.
 */
final class HelpedProbe implements LivenessProbe {
    private final LivenessProbe own;
    private final EndpointConnector connector;

    HelpedProbe(LivenessProbe own, EndpointConnector connector) {
        this.own = own;
        this.connector = connector;
    }

    @Override
    public CompletableFuture<Liveness> probe(Address address, Optional<Address> reference) {
        return own.probe(address, reference)
                .thenCompose(
                        result ->
                                result == Liveness.LISTENS
                                        ? CompletableFuture.completedFuture(result)
                                        : askOthers(address, result));
    }

    private CompletableFuture<Liveness> askOthers(Address address, Liveness result) {
        return connector
                .reachedByOthers(address)
                .map(reached -> reached ? Liveness.LISTENS : result)
                .toCompletionStage()
                .toCompletableFuture();
    }
}
