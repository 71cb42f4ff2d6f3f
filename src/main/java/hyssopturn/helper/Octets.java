package hyssopturn.helper;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Converts between text and strings of octets, in which each character up to U+00FF stands for one
 * byte, as HTTP libraries read and write the heads of messages.
 */
public final class Octets {
    private Octets() {}

    /**
     * Returns the UTF-8 form of a text.
     *
     * @param text any text
     * @return one character for each byte, empty if the text has an unpaired surrogate
     */
    public static Optional<String> ofText(String text) {
        try {
            ByteBuffer bytes = StandardCharsets.UTF_8.newEncoder().encode(CharBuffer.wrap(text));
            return Optional.of(StandardCharsets.ISO_8859_1.decode(bytes).toString());
        } catch (CharacterCodingException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns the text of which octets are the UTF-8 form.
     *
     * @param octets one character for each byte
     * @return the text, empty if the octets are not valid UTF-8
     */
    public static Optional<String> toText(String octets) {
        try {
            ByteBuffer bytes =
                    StandardCharsets.ISO_8859_1.newEncoder().encode(CharBuffer.wrap(octets));
            return Optional.of(StandardCharsets.UTF_8.newDecoder().decode(bytes).toString());
        } catch (CharacterCodingException e) {
            return Optional.empty();
        }
    }
}
