package hyssopturn.run;

import hyssopturn.port.Instance;

/** Takes in what requests show of endpoints. */
public interface Evidence {
    /**
     * An endpoint takes no connections.
     *
     * @param endpoint the endpoint
     */
    void unreachable(Instance endpoint);

    /**
     * An endpoint said that it is leaving.
     *
     * @param endpoint the endpoint
     */
    void leaving(Instance endpoint);
}
