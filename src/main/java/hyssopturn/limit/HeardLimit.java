package hyssopturn.limit;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * What a node tells another one about an endpoint's limit; clocks of nodes differ, so it bears an
 * age.
 *
 * @param perSecond requests per second, empty if the endpoint names no limit any more
 * @param age time since it was heard
 */
public record HeardLimit(OptionalDouble perSecond, Duration age) {}
