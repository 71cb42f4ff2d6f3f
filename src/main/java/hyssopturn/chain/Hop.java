package hyssopturn.chain;

import hyssopturn.fleet.Endpoint;
import hyssopturn.model.LayerRange;

/**
 * One engine's part of a chain.
 *
 * @param engine the engine
 * @param range layers that it runs
 */
public record Hop(Endpoint engine, LayerRange range) {}
