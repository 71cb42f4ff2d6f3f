package hyssopturn.platform;

import hyssopturn.helper.Octets;

import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Text of the configuration in the value of an HTTP header, whose bytes are the UTF-8 form of the
 * text.
 *
 * <p>Netty sends the low byte of each character of a header and a question mark for characters
 * above U+00FF, so an encoded value holds one character for each byte.
 */
final class HeaderText {
    /**
     * Text that arrives as it was sent: recipients remove spaces and tabs from both ends of a
     * value, and other control characters are not allowed in it.
     */
    private static final Pattern SENDABLE =
            Pattern.compile(
                    "[^\\x00-\\x20\\x7f]([^\\x00-\\x08\\x0a-\\x1f\\x7f]*[^\\x00-\\x20\\x7f])?");

    private HeaderText() {}

    /**
     * Encodes a text; different texts have different values, and visible ASCII is its own value.
     *
     * @param text any text
     * @return the value to set, empty if no header can carry the text
     */
    static Optional<String> encode(String text) {
        if (!SENDABLE.matcher(text).matches()) {
            return Optional.empty();
        }
        return Octets.ofText(text);
    }
}
