package hyssopturn.fleet;

import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;

import java.util.Optional;

/** Endpoints for tests that need little more than their id. */
public final class TestEndpoints {
    /** Service of all endpoints. */
    public static final String SERVICE = "writers";

    private static final int PORT = 1_000;

    private TestEndpoints() {}

    /**
     * Returns an engine in zone "a" that holds no layers and was started once.
     *
     * @param id its id
     * @return the engine, with the sequence number 1
     */
    public static Endpoint engine(String id) {
        return engine(id, PORT, "a", 1);
    }

    /**
     * Returns an engine that holds no layers and was started once.
     *
     * @param id its id
     * @param port its port
     * @param zone its availability zone
     * @param sequence sequence number of the announcement
     * @return the engine
     */
    public static Endpoint engine(String id, int port, String zone, long sequence) {
        return new Endpoint(
                new InstanceId(id),
                SERVICE,
                new Address("10.0.0.1", port),
                zone,
                1,
                false,
                "k",
                Optional.empty(),
                1,
                sequence);
    }
}
