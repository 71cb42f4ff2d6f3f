package hyssopturn.catalog;

/**
 * A client account.
 *
 * @param name its name
 */
public record Account(String name) {}
