package hyssopturn.trace;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

class EventDocumentationTest {
    private static final Path PAGE = Path.of("docs/OPERATIONS.md");

    @Test
    void everyEventIsDocumentedOnTheOperationsPage() throws IOException {
        String page = Files.readString(PAGE);
        List<String> missing =
                Stream.of(TraceEvent.class.getPermittedSubclasses())
                        .map(Class::getSimpleName)
                        .filter(name -> !page.contains("`" + name + "`"))
                        .toList();
        assertThat(missing, empty());
    }
}
