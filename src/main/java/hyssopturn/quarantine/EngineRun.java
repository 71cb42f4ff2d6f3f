package hyssopturn.quarantine;

import hyssopturn.model.InstanceId;

/**
 * One run of an engine, from its start to its end.
 *
 * @param engine the engine
 * @param incarnation time of its start, in milliseconds since 1970
 */
public record EngineRun(InstanceId engine, long incarnation) {}
