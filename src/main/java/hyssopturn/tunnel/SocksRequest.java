package hyssopturn.tunnel;

import hyssopturn.model.Address;

import java.util.Optional;

/**
 * Messages of the protocol SOCKS 5 by which a node asks another one for a connection: a greeting
 * with the offered ways to authenticate, of which the one without is chosen, then the request.
 */
final class SocksRequest {
    /** Longest message that is read, in bytes. */
    static final int MAX_BYTES = 64;

    private static final int GREETING_HEAD = 2;
    private static final int REQUEST_BYTES = 10;
    private static final int VERSION = 5;
    private static final int CONNECT = 1;
    private static final int IPV4 = 1;
    private static final byte NO_AUTHENTICATION = 0;
    private static final byte GRANTED = 0;
    private static final byte NOT_ALLOWED = 2;

    private SocksRequest() {}

    /** Returns the length of a greeting that the bytes begin with, 0 if it is not whole yet. */
    static int greetingLength(byte[] bytes) {
        if (bytes.length < GREETING_HEAD) {
            return 0;
        }
        int length = GREETING_HEAD + Byte.toUnsignedInt(bytes[1]);
        return bytes.length < length ? 0 : length;
    }

    /** Returns the answer to a greeting. */
    static byte[] welcome() {
        return new byte[] {VERSION, NO_AUTHENTICATION};
    }

    /** Returns whether the bytes are as long as a request. */
    static boolean whole(byte[] bytes) {
        return bytes.length >= REQUEST_BYTES;
    }

    /** Returns the address that a whole request asks for, empty if it is malformed. */
    static Optional<Address> decode(byte[] bytes) {
        boolean wellFormed =
                bytes.length == REQUEST_BYTES
                        && bytes[0] == VERSION
                        && bytes[1] == CONNECT
                        && bytes[3] == IPV4;
        if (!wellFormed) {
            return Optional.empty();
        }
        String host =
                "%d.%d.%d.%d"
                        .formatted(
                                Byte.toUnsignedInt(bytes[4]),
                                Byte.toUnsignedInt(bytes[5]),
                                Byte.toUnsignedInt(bytes[6]),
                                Byte.toUnsignedInt(bytes[7]));
        int port = Byte.toUnsignedInt(bytes[8]) << Byte.SIZE | Byte.toUnsignedInt(bytes[9]);
        return port == 0 ? Optional.empty() : Optional.of(new Address(host, port));
    }

    /** Encodes the answer to a request. */
    static byte[] reply(boolean granted) {
        byte[] reply = new byte[REQUEST_BYTES];
        reply[0] = VERSION;
        reply[1] = granted ? GRANTED : NOT_ALLOWED;
        reply[3] = IPV4;
        return reply;
    }
}
