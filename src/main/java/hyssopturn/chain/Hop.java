package hyssopturn.chain;

import hyssopturn.fleet.Endpoint;
import hyssopturn.model.LayerRange;

/**
 * The part of a chain that one engine runs.
 *
 * @param engine the engine
 * @param range layers that it runs
 */
public record Hop(Endpoint engine, LayerRange range) {}
