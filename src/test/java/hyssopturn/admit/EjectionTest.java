package hyssopturn.admit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.model.InstanceId;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;

class EjectionTest {
    private static final int ENDPOINTS = 12;

    private final Ejection ejection = new Ejection();
    private final Set<InstanceId> all = new LinkedHashSet<>();

    @BeforeEach
    void addEndpoints() {
        for (int i = 0; i < ENDPOINTS; i++) {
            all.add(id(i));
        }
        ejection.setEndpoints(all, 0);
    }

    private static InstanceId id(int number) {
        return new InstanceId("engine-" + number);
    }

    private void failRepeatedly(int number, long now) {
        for (int i = 0; i < 5; i++) {
            ejection.recordFailure(id(number), now);
        }
    }

    @Test
    void ejectsAnEndpointThatFailsRepeatedly() {
        failRepeatedly(3, Tickets.SECOND);
        assertThat(ejection.weight(id(3), Tickets.SECOND), is(0.0));
        assertThat(ejection.weight(id(4), Tickets.SECOND), is(1.0));
    }

    @Test
    void aSuccessResetsTheCountOfFailures() {
        for (int i = 0; i < 20; i++) {
            ejection.recordFailure(id(3), i);
            if (i % 4 == 3) {
                ejection.recordSuccess(id(3), 1, i);
            }
        }
        assertThat(ejection.weight(id(3), 21), is(1.0));
    }

    @Test
    void neverEjectsMoreThanTheGreatestShare() {
        for (int i = 0; i < ENDPOINTS; i++) {
            failRepeatedly(i, Tickets.SECOND);
        }
        int maxEjected = (int) (ENDPOINTS * Ejection.MAX_EJECTED_SHARE);
        assertThat(ejection.ejectedCount(Tickets.SECOND), is(maxEjected));
    }

    @Test
    void ejectsAnEndpointFarSlowerThanTheOthers() {
        for (int k = 0; k < 50; k++) {
            for (int i = 0; i < ENDPOINTS; i++) {
                ejection.recordSuccess(id(i), i == 7 ? 9 : 1, k);
            }
        }
        assertThat(ejection.weight(id(7), 50), is(0.0));
        assertThat(ejection.ejectedCount(50), is(1));
    }

    @Test
    void ejectsNoneWhenAllAreSlow() {
        for (int k = 0; k < 50; k++) {
            for (int i = 0; i < ENDPOINTS; i++) {
                ejection.recordSuccess(id(i), 9, k);
            }
        }
        assertThat(ejection.ejectedCount(50), is(0));
    }

    @Test
    void weightGrowsGraduallyAfterAnEjection() {
        failRepeatedly(3, 0);
        double before = 0;
        for (long now = 0; now <= 16 * Tickets.SECOND; now += Tickets.SECOND) {
            double weight = ejection.weight(id(3), now);
            assertThat(before, is(lessThanOrEqualTo(weight)));
            before = weight;
        }
        assertThat(before, is(1.0));
    }

    @Test
    void rampsUpNewEndpointsButNotTheInitialOnes() {
        Set<InstanceId> more = new HashSet<>(all);
        more.add(id(99));
        ejection.setEndpoints(more, Tickets.SECOND);
        assertThat(ejection.weight(id(0), Tickets.SECOND), is(1.0));
        assertThat(ejection.weight(id(99), Tickets.SECOND), is(closeTo(0.1, 1e-9)));
        assertThat(ejection.weight(id(99), 6 * Tickets.SECOND), is(closeTo(0.5, 1e-9)));
    }
}
