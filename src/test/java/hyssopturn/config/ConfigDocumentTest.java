package hyssopturn.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import hyssopturn.model.ClassName;
import hyssopturn.model.Config;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

class ConfigDocumentTest {
    private static final Path SHIPPED = Path.of("src/main/resources/hyssopturn/config.schema.json");

    private static List<String> problems(String text) {
        return assertThrows(ConfigInvalidException.class, () -> ConfigDocument.parse(text, 1))
                .problems()
                .stream()
                .map(Problem::toString)
                .toList();
    }

    @Nested
    class Good {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "examples/workshop.yaml",
                    "examples/haven.yaml",
                    "src/main/resources/hyssopturn/try.yaml"
                })
        void documentsAreRead(String file) throws IOException {
            Config config = ConfigDocument.parse(Files.readString(Path.of(file)), 7);
            assertThat(config.version(), is(7L));
            assertThat(config.classes().size() >= 4, is(true));
        }

        @Test
        void feesAreNotRepeatable() throws IOException {
            Config config =
                    ConfigDocument.parse(Files.readString(Path.of("examples/haven.yaml")), 1);
            assertThat(
                    config.workClass(new ClassName("adoption-fee")).orElseThrow().work(),
                    is(new hyssopturn.model.Work.Call("herd-book", false)));
        }

        @Test
        void schemaIsTheOneInTheDocs() throws IOException {
            assertThat(
                    Files.readString(SHIPPED),
                    is(Files.readString(Path.of("docs/config.schema.json"))));
        }
    }

    @Nested
    class Bad {
        @Test
        void fieldsAreNamedWithTheirLinesAllAtOnce() {
            String text =
                    """
                    format: 1
                    classes:
                      sheet:
                        service: dispatch
                        answer: 5 parsecs
                        share: 2
                        colour: red
                      letter:
                        model: none
                        first-token: 1s
                    """;
            List<String> found = problems(text);
            assertThat(
                    found,
                    hasItem(
                            containsString(
                                    "line 5: classes.sheet.answer: must be a whole number and")));
            assertThat(found, hasItem(containsString("line 6: classes.sheet.share: ")));
            assertThat(found, hasItem(containsString("line 7: classes.sheet.colour: ")));
            assertThat(found, hasItem(containsString("line 8: classes.letter: ")));
            assertThat(found, hasItem("line 9: classes.letter.model: no model none is declared"));
        }

        @Test
        void syntaxIsNamedWithItsLine() {
            assertThat(problems("format: 1\nclasses: [").getFirst(), containsString("line 2: "));
        }

        @Test
        void fieldGivenTwiceIsRefused() {
            assertThat(
                    problems("format: 1\nformat: 1\n").getFirst(),
                    is("line 2: format: is given twice"));
        }

        @Test
        void classOfBothKindsIsRefused() {
            String text =
                    """
                    format: 1
                    classes:
                      a: {service: s, answer: 1s, model: m, first-token: 1s, between-tokens: 1s}
                    """;
            assertThat(
                    problems(text),
                    hasItem("line 3: classes.a: must name either a model or a service"));
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    "x",
                    "[]",
                    "null",
                    "format: 2",
                    "format: 1\nclasses: {}",
                    "format: 1\nclasses: {a: null}",
                    "format: 1\nclasses: {a: 1}",
                    "format: 1\nclasses: {a: {service: s, answer: 999999999999999999999d}}",
                    "format: 1\nclasses: {a: {service: s, answer: 1s}}\n---\nformat: 1",
                    "a: &a [1]\nb: *a",
                    "\u0000",
                    "format: 99999999999999999999999999999999999"
                })
        void anythingElseIsRefusedByType(String text) {
            assertThat(problems(text).isEmpty(), is(false));
        }

        @Test
        void deepNestingIsRefused() {
            assertThat(problems("[".repeat(5_000)).isEmpty(), is(false));
        }

        @Test
        void hugeDocumentIsRefusedUnread() {
            assertThat(
                    problems("#".repeat(ConfigDocument.MAX_CHARS + 1)).getFirst(),
                    containsString("at most"));
        }
    }
}
