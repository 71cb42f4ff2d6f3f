package hyssopturn.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import hyssopturn.config.ConfigWorld.Fault;
import hyssopturn.config.ConfigWorld.Happening;
import hyssopturn.config.ConfigWorld.Mutation;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.util.List;

class ConfigFuzzTest {
    @Provide
    Arbitrary<Happening> happening() {
        return Combinators.combine(
                        Arbitraries.of(Fault.class),
                        Arbitraries.integers().between(0, ConfigWorld.NODES - 1),
                        Arbitraries.integers().between(0, 20))
                .as(Happening::new);
    }

    @Property(seed = "62", tries = 150)
    void everyNodeFollowsTheOneAcceptedHistory(
            @ForAll @Size(max = 40) List<@From("happening") Happening> happenings) {
        ConfigWorld.run(happenings, Mutation.NONE);
    }

    @Nested
    class Mutations {
        private static Happening of(Fault fault, int node, int span) {
            return new Happening(fault, node, span);
        }

        private void caught(List<Happening> happenings, Mutation mutation) {
            ConfigWorld.run(happenings, Mutation.NONE);
            Assertions.assertThrows(
                    AssertionError.class, () -> ConfigWorld.run(happenings, mutation));
        }

        @Test
        void baseVersionIgnoredIsCaught() {
            caught(List.of(of(Fault.PUBLISH, 0, 2), of(Fault.STALE, 0, 2)), Mutation.BASE_IGNORED);
        }

        @Test
        void retentionIgnoredIsCaught() {
            caught(
                    List.of(
                            of(Fault.PUBLISH, 0, 20),
                            of(Fault.PUBLISH, 0, 20),
                            of(Fault.RUN, 0, 20),
                            of(Fault.RUN, 0, 20),
                            of(Fault.RUN, 0, 20),
                            of(Fault.RESTART_ALL, 0, 20),
                            of(Fault.RUN, 0, 20)),
                    Mutation.RETENTION_IGNORED);
        }

        @Test
        void gapIgnoredIsCaught() {
            caught(
                    List.of(
                            of(Fault.PUBLISH, 0, 5),
                            of(Fault.PUBLISH, 1, 20),
                            of(Fault.RUN, 0, 20),
                            of(Fault.RUN, 0, 20),
                            of(Fault.RUN, 0, 20),
                            of(Fault.RUN, 0, 20),
                            of(Fault.STALE, 0, 1),
                            of(Fault.RESTART_ALL, 0, 5)),
                    Mutation.GAP_IGNORED);
        }
    }

    @Test
    void theOracleSeesRealHistories() {
        ConfigWorld world =
                ConfigWorld.run(
                        List.of(
                                new Happening(Fault.PUBLISH, 0, 1),
                                new Happening(Fault.RACE, 0, 1),
                                new Happening(Fault.JUNK, 0, 1),
                                new Happening(Fault.PUBLISH, 0, 1)),
                        Mutation.NONE);
        int publishedAfterCalm = 1;
        assertThat(world.accepted().size(), is(3 + publishedAfterCalm));
        assertThat(world.accepted(), not(hasItem(0L)));
    }
}
