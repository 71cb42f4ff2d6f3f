package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.model.PromptPart;
import hyssopturn.relay.CallHeaders;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.MultiMap;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.util.List;

class PromptPartsTest {
    private static final String HEADER = "Hyssopturn-Prompt-Prefix";
    private static final int MAX_PARTS = 32;

    private static CallHeaders decode(String text) {
        return new PlatformHeaders(new SimpleMeterRegistry())
                .decode(MultiMap.caseInsensitiveMultiMap().add(HEADER, text));
    }

    @Test
    void areDecodedInOrderAndTheLastIsNotShared() {
        CallHeaders headers = decode("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
        assertThat(headers.promptParts().get(1), equalTo(new PromptPart("91bd3f06", 410)));
        assertThat(headers.sharedParts(), equalTo(List.of("5c1e07a2", "91bd3f06")));
    }

    @Test
    void thatDifferInCaseAndSpacesAreTheSame() {
        assertThat(decode(" 5C1E07A2 : 8,b:1").sharedParts(), equalTo(List.of("5c1e07a2")));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "a;1",
                "a,b;2",
                "a:x,b:-1;2",
                "a:9223372036854775808,b:1;2",
                "a:1:2,b:1;2",
                ":5,,b:1;1",
                ",,,;0"
            })
    void thatAreMalformedAreLeftOutOrHaveNoTokens(String text, int parts) {
        CallHeaders headers = decode(text);
        assertThat(headers.promptParts().size(), equalTo(parts));
        headers.promptParts().forEach(p -> assertThat(p.tokens(), lessThanOrEqualTo(1L)));
    }

    @Test
    void thatAreTooManyOrTooLongAreNotKept() {
        assertThat(
                decode("a:1,".repeat(100_000)).promptParts().size(), lessThanOrEqualTo(MAX_PARTS));
        assertThat(decode("a".repeat(16_000) + ":1").promptParts(), empty());
    }

    @Test
    void areEmptyWithoutTheHeader() {
        CallHeaders headers =
                new PlatformHeaders(new SimpleMeterRegistry())
                        .decode(MultiMap.caseInsensitiveMultiMap());
        assertThat(headers.promptParts(), empty());
        assertThat(headers.sharedParts(), empty());
    }
}
