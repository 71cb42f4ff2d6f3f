package hyssopturn.cli;

import hyssopturn.config.ConfigRecord;
import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.helper.Units;
import hyssopturn.model.Address;
import hyssopturn.model.Zone;

import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;

/** Kind of a setting: how its text is read and what is allowed. */
sealed interface Kind<T> {
    /** Reads a text; empty if it is not allowed. */
    Optional<T> read(String text);

    /** Says what is allowed, with the unit. */
    String allowed();

    record Name() implements Kind<String> {
        @Override
        public Optional<String> read(String text) {
            return text.isBlank() ? Optional.empty() : Optional.of(text.strip());
        }

        @Override
        public String allowed() {
            return "a text that is not blank";
        }
    }

    record Span(Duration low, Duration high) implements Kind<Duration> {
        @Override
        public Optional<Duration> read(String text) {
            return Units.duration(text)
                    .filter(d -> d.compareTo(low) >= 0 && d.compareTo(high) <= 0);
        }

        @Override
        public String allowed() {
            return "a duration in us, ms, s, m, h or d from " + show(low) + " to " + show(high);
        }

        private static String show(Duration span) {
            return span.toMillis() % 1000 == 0 ? span.toSeconds() + "s" : span.toMillis() + "ms";
        }
    }

    record Size(long low, long high) implements Kind<Long> {
        @Override
        public Optional<Long> read(String text) {
            return Units.size(text).filter(s -> s >= low && s <= high);
        }

        @Override
        public String allowed() {
            return "a size in B, KiB, MiB or GiB from " + low + "B to " + high + "B";
        }
    }

    record Whole(int low, int high) implements Kind<Integer> {
        @Override
        public Optional<Integer> read(String text) {
            try {
                int value = Integer.parseInt(text.strip());
                return value >= low && value <= high ? Optional.of(value) : Optional.empty();
            } catch (NumberFormatException e) {
                return Optional.empty();
            }
        }

        @Override
        public String allowed() {
            return "a whole number from " + low + " to " + high;
        }
    }

    record Flag() implements Kind<Boolean> {
        @Override
        public Optional<Boolean> read(String text) {
            return switch (text.strip()) {
                case "true" -> Optional.of(true);
                case "false" -> Optional.of(false);
                default -> Optional.empty();
            };
        }

        @Override
        public String allowed() {
            return "true or false";
        }
    }

    record BaseVersion() implements Kind<OptionalLong> {
        @Override
        public Optional<OptionalLong> read(String text) {
            return switch (text.strip()) {
                case "current" -> Optional.of(OptionalLong.empty());
                case "any" -> Optional.of(OptionalLong.of(ConfigRecord.ANY_BASE));
                default -> number(text.strip());
            };
        }

        private static Optional<OptionalLong> number(String text) {
            try {
                long value = Long.parseLong(text);
                return value >= 0 ? Optional.of(OptionalLong.of(value)) : Optional.empty();
            } catch (NumberFormatException e) {
                return Optional.empty();
            }
        }

        @Override
        public String allowed() {
            return "a version, or 'current' for the one in force, or 'any' to publish over every"
                    + " other";
        }
    }

    record OneOf<E extends Enum<E>>(Class<E> type) implements Kind<E> {
        @Override
        public Optional<E> read(String text) {
            return Arrays.stream(type.getEnumConstants())
                    .filter(e -> e.name().equalsIgnoreCase(text.strip()))
                    .findFirst();
        }

        @Override
        public String allowed() {
            return Arrays.stream(type.getEnumConstants())
                    .map(e -> e.name().toLowerCase(Locale.ROOT))
                    .collect(Collectors.joining(", ", "one of ", ""));
        }
    }

    record Place() implements Kind<Zone> {
        @Override
        public Optional<Zone> read(String text) {
            try {
                return Optional.of(Zone.parse(text));
            } catch (InvalidArgumentException e) {
                return Optional.empty();
            }
        }

        @Override
        public String allowed() {
            return "a region and a zone, written region/zone";
        }
    }

    record HostPort() implements Kind<Address> {
        @Override
        public Optional<Address> read(String text) {
            try {
                return Optional.of(Address.parse(text));
            } catch (InvalidArgumentException e) {
                return Optional.empty();
            }
        }

        @Override
        public String allowed() {
            return "an IP number and a port, written host:port";
        }
    }
}
