package hyssopturn.catalog;

/**
 * One kind of accelerator.
 *
 * @param name name of the kind
 * @param memoryMb memory for layers and requests, in megabytes
 * @param stepFactor how many times longer a token step takes than on the reference engine
 * @param readFactor how many times longer a prompt takes than on the reference engine
 */
public record EngineKind(String name, double memoryMb, double stepFactor, double readFactor) {}
