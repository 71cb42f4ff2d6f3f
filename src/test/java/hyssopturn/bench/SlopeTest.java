package hyssopturn.bench;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.containsString;

import hyssopturn.bench.Slope.Point;

import org.junit.jupiter.api.Test;

import java.util.List;

class SlopeTest {
    private final Slope slope =
            new Slope(
                    "role",
                    "things",
                    "bytes",
                    List.of(new Point(1, 15), new Point(2, 25), new Point(4, 45)));

    @Test
    void findsTheLineThatThePointsLieOn() {
        assertThat(slope.perUnit(), closeTo(10, 1e-9));
        assertThat(slope.fixed(), closeTo(5, 1e-9));
    }

    @Test
    void writesEveryPointIntoItsRow() {
        assertThat(slope.row(), containsString("1: 15.00, 2: 25.00, 4: 45.00"));
    }
}
