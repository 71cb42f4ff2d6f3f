package hyssopturn.port;

import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.model.Zone;

/**
 * One entry of the instance list.
 *
 * @param id name of the instance
 * @param incarnation number that increases with each restart of the instance
 * @param role role of the instance
 * @param address where it listens
 * @param zone availability zone in which it runs
 * @param leaving true once it must get no new work
 */
public record Instance(
        InstanceId id, long incarnation, Role role, Address address, Zone zone, boolean leaving) {
    /** Role of an instance. */
    public sealed interface Role {
        /**
         * An entry instance of this system.
         *
         * @param peers where it accepts links of other nodes
         */
        record Node(Address peers) implements Role {}

        /**
         * A model engine.
         *
         * @param accelerator kind of its accelerators
         * @param memoryBytes memory for weights, in bytes
         * @param fenced true if it refuses orders that carry an old fencing token
         */
        record Engine(String accelerator, long memoryBytes, boolean fenced) implements Role {}

        /**
         * A plain service.
         *
         * @param service name of the service
         */
        record Service(String service) implements Role {}
    }
}
