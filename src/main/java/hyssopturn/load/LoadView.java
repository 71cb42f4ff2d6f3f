package hyssopturn.load;

import hyssopturn.model.InstanceId;

import java.util.Optional;
import java.util.OptionalDouble;

/** What a node knows of the load of all nodes; empty where it knows nothing recent. */
public interface LoadView {
    /** Knows nothing, so that every reader uses an estimate of its own. */
    LoadView NONE =
            new LoadView() {
                @Override
                public Optional<ZoneLoad> zone(String service, String zone) {
                    return Optional.empty();
                }

                @Override
                public OptionalDouble usedTokens(InstanceId engine) {
                    return OptionalDouble.empty();
                }
            };

    /**
     * Returns the load of a zone's clients, those of this node included.
     *
     * @param service name of the service
     * @param zone availability zone of the clients
     * @return the load, empty if too little is known or it is too old
     */
    Optional<ZoneLoad> zone(String service, String zone);

    /**
     * Returns the tokens of one layer that the requests of all nodes hold at an engine.
     *
     * @param engine the engine
     * @return the tokens, this node's own included, empty if too little is known or it is too old
     */
    OptionalDouble usedTokens(InstanceId engine);

    /**
     * Estimates the tokens of one layer that other nodes started to hold at an engine since its
     * load was measured; it shows how uncertain {@link #usedTokens} is.
     *
     * @param engine the engine
     * @return the tokens, 0 if nothing is known
     */
    default double uncertainTokens(InstanceId engine) {
        return 0;
    }

    /**
     * Returns how many streams clients ask for in an engine's zone, for each one that is started.
     *
     * @param engine the engine
     * @return the ratio, 1 or more; 1 if nothing is known
     */
    default double askedPerStarted(InstanceId engine) {
        return 1;
    }
}
