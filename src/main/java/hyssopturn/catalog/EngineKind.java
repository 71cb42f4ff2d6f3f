package hyssopturn.catalog;

/**
 * A kind of accelerator.
 *
 * @param name name of the kind
 * @param memoryMb memory for layers and requests, in megabytes
 * @param stepFactor time of a decode step relative to the reference engine
 * @param prefillFactor time of a prompt's prefill relative to the reference engine
 */
public record EngineKind(String name, double memoryMb, double stepFactor, double prefillFactor) {}
