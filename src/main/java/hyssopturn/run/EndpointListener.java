package hyssopturn.run;

import hyssopturn.port.Instance;

/** Receives the states of endpoints that are detected while requests run. */
public interface EndpointListener {
    /**
     * Handles an endpoint that does not accept connections.
     *
     * @param endpoint the endpoint
     */
    void onUnreachable(Instance endpoint);

    /**
     * Handles an endpoint that announced that it is leaving.
     *
     * @param endpoint the endpoint
     */
    void onLeaving(Instance endpoint);
}
