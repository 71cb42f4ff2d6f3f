package hyssopturn.admit;

/** Limit of concurrent requests that adapts to the ratio of observed to allowed latency. */
sealed interface ConcurrencyLimit {
    /** Returns the limit, at least 1. */
    int limit();

    /**
     * Adapts the limit to the observations of the last interval.
     *
     * @param pressure observed over allowed latency; above 1 the target is missed
     * @param running greatest number of requests that ran at once in the interval
     */
    void update(double pressure, int running);

    /** Creates a limit of the kind that the settings select. */
    static ConcurrencyLimit of(AdmitSettings settings) {
        return switch (settings.limit()) {
            case FIXED -> new Fixed(settings.initialLimit());
            case AIMD -> new Aimd(settings.initialLimit(), settings.maxLimit());
            case GRADIENT -> new Gradient(settings.initialLimit(), settings.maxLimit());
        };
    }

    /** Limit that never changes. */
    record Fixed(int limit) implements ConcurrencyLimit {
        @Override
        public void update(double pressure, int running) {}
    }

    /** Additive increase, multiplicative decrease: grows by a step and shrinks by a factor. */
    final class Aimd implements ConcurrencyLimit {
        private static final double SHRINK_FACTOR = 0.9;
        private static final double STEP = 1;
        private static final double MIN_USED_SHARE = 0.85;

        private final int max;
        private double value;

        Aimd(int initial, int max) {
            value = initial;
            this.max = max;
        }

        @Override
        public int limit() {
            return (int) Math.max(1, value);
        }

        @Override
        public void update(double pressure, int running) {
            if (pressure > 1) {
                value = Math.max(1, value * SHRINK_FACTOR);
            } else if (running >= value * MIN_USED_SHARE) {
                value = Math.min(max, value + STEP);
            }
        }
    }

    /** Limit that scales with the ratio of allowed to observed latency. */
    final class Gradient implements ConcurrencyLimit {
        private static final double MIN_FACTOR = 0.8;
        private static final double MAX_FACTOR = 1.3;
        private static final double NEAR_MIN_PRESSURE = 0.7;
        private static final double NEAR_MAX_PRESSURE = 1.5;
        private static final double NEAR_GAIN = 0.05;
        private static final double FAR_GAIN = 0.3;
        private static final double STEP = 0.1;
        private static final double MIN_USED_SHARE = 0.85;

        private final int max;
        private double value;

        Gradient(int initial, int max) {
            value = initial;
            this.max = max;
        }

        @Override
        public int limit() {
            return (int) Math.max(1, value);
        }

        @Override
        public void update(double pressure, int running) {
            double factor = factor(pressure);
            if (factor < 1) {
                // shrinks from the number that ran, since the limit may never have been reached
                value =
                        Math.max(
                                1, Math.min(value, Math.max(running, 1) / MIN_USED_SHARE) * factor);
            } else if (running >= value * MIN_USED_SHARE) {
                value = Math.min(max, value * factor + STEP);
            }
        }

        /**
         * Returns the factor by which the limit changes. Near the target the limit changes more
         * slowly than slots come free, so that requests can still start.
         */
        private static double factor(double pressure) {
            double gain =
                    pressure < NEAR_MIN_PRESSURE || pressure > NEAR_MAX_PRESSURE
                            ? FAR_GAIN
                            : NEAR_GAIN;
            return Math.clamp(1 + gain * (1 / pressure - 1), MIN_FACTOR, MAX_FACTOR);
        }
    }
}
