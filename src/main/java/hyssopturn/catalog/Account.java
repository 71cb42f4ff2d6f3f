package hyssopturn.catalog;

import java.util.OptionalInt;

/**
 * A client account.
 *
 * @param name its name
 * @param priority priority of its requests, 0 is the most urgent; empty if the route's applies
 */
public record Account(String name, OptionalInt priority) {}
