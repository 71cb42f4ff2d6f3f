package hyssopturn.node;

import hyssopturn.port.Clock;
import hyssopturn.port.EngineClient;
import hyssopturn.port.InstanceList;
import hyssopturn.port.LogService;
import hyssopturn.port.PeerLink;
import hyssopturn.port.ServiceClient;
import hyssopturn.port.WeightStore;

import java.util.random.RandomGenerator;

/**
 * External dependencies of a node.
 *
 * @param log the platform's log
 * @param instances the platform's instance list
 * @param weights the platform's weight store
 * @param engines client of engines
 * @param services client of services
 * @param peers links to other nodes
 * @param clock clock and timers
 * @param random source of random numbers
 */
public record Ports(
        LogService log,
        InstanceList instances,
        WeightStore weights,
        EngineClient engines,
        ServiceClient services,
        PeerLink peers,
        Clock clock,
        RandomGenerator random) {}
