package hyssopturn.catalog;

import java.util.Optional;

/**
 * A service that requests are routed to.
 *
 * @param name its name
 * @param engine sizes and speeds of its engines; empty for a plain service
 */
public record ServiceSpec(String name, Optional<EngineSpec> engine) {}
