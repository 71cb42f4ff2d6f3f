package hyssopturn.helper;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.Optional;

class UnitsTest {
    @Property(seed = "7")
    void readsEveryWholeNumberOfMilliseconds(@ForAll @IntRange(min = 0) int count) {
        assertThat(Units.duration(count + "ms"), is(Optional.of(Duration.ofMillis(count))));
    }

    @Property(seed = "8")
    void neverThrowsOnAnyText(@ForAll String text) {
        Units.duration(text);
        Units.size(text);
    }

    @Nested
    class Size {
        @Test
        void isReadInBinaryUnits() {
            assertThat(Units.size("64MiB"), is(Optional.of(64L << 20)));
        }

        @Test
        void withoutUnitIsRejected() {
            assertThat(Units.size("64"), is(Optional.empty()));
        }
    }
}
