package hyssopturn.model;

import hyssopturn.helper.Check;

/**
 * Network address at which an instance listens.
 *
 * @param host IP address
 * @param port TCP port
 */
public record Address(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** Checks both parts. */
    public Address {
        Check.notBlank(host, "host");
        Check.inRange(port, 0, MAX_PORT, "port");
    }

    /**
     * Reads the form {@code host:port}.
     *
     * @param text the text
     * @return the address
     * @throws hyssopturn.helper.InvalidArgumentException if it is malformed
     */
    public static Address parse(String text) {
        Check.notBlank(text, "address");
        int colon = text.lastIndexOf(':');
        Check.that(colon > 0, "address must be written host:port, was " + text);
        try {
            return new Address(
                    text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new hyssopturn.helper.InvalidArgumentException(
                    "port must be a whole number in " + text);
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
