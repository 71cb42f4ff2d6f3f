package hyssopturn.config;

/**
 * Something wrong in a document.
 *
 * @param line line of the document, from 1, or 0 if it has none
 * @param field path of the field, such as {@code classes.letter.share}
 * @param message what is wrong and what is allowed
 */
public record Problem(int line, String field, String message) {
    /** Turns a pointer such as {@code /classes/letter} into the path of a field. */
    static String field(String pointer) {
        return pointer.isEmpty() ? "document" : pointer.substring(1).replace('/', '.');
    }

    @Override
    public String toString() {
        return (line > 0 ? "line " + line + ": " : "") + field + ": " + message;
    }
}
