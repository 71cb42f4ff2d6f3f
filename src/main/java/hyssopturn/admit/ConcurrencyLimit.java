package hyssopturn.admit;

/** Number of requests that may run at once, from observed times against the target. */
sealed interface ConcurrencyLimit {
    /** Returns the limit, at least 1. */
    int limit();

    /**
     * Takes in what the last interval showed.
     *
     * @param pressure observed time over allowed time; above 1 the target is missed
     * @param running greatest number of requests that ran
     */
    void update(double pressure, int running);

    /** Creates the limit that the settings ask for. */
    static ConcurrencyLimit of(AdmitSettings settings) {
        return switch (settings.limit()) {
            case FIXED -> new Fixed(settings.initialLimit());
            case AIMD -> new Aimd(settings.initialLimit(), settings.maxLimit());
            case GRADIENT -> new Gradient(settings.initialLimit(), settings.maxLimit());
        };
    }

    /** Limit that stays. */
    record Fixed(int limit) implements ConcurrencyLimit {
        @Override
        public void update(double pressure, int running) {}
    }

    /** Limit that grows by a step and shrinks by a factor. */
    final class Aimd implements ConcurrencyLimit {
        private static final double SHRINK = 0.9;
        private static final double STEP = 1;
        private static final double USED = 0.85;

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
                value = Math.max(1, value * SHRINK);
            } else if (running >= value * USED) {
                value = Math.min(max, value + STEP);
            }
        }
    }

    /** Limit that scales with the ratio of allowed to observed time. */
    final class Gradient implements ConcurrencyLimit {
        private static final double MOST_SHRINK = 0.8;
        private static final double MOST_GROWTH = 1.3;
        private static final double NEAR = 0.7;
        private static final double FAR = 1.5;
        private static final double NEAR_GAIN = 0.05;
        private static final double FAR_GAIN = 0.3;
        private static final double STEP = 0.1;
        private static final double USED = 0.85;

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
                // shrinking from what ran, not from a limit that was never reached
                value = Math.max(1, Math.min(value, Math.max(running, 1) / USED) * factor);
            } else if (running >= value * USED) {
                value = Math.min(max, value * factor + STEP);
            }
        }

        /** Near the target the limit moves more slowly than slots come free, so starts go on. */
        private static double factor(double pressure) {
            double gain = pressure < NEAR || pressure > FAR ? FAR_GAIN : NEAR_GAIN;
            return Math.clamp(1 + gain * (1 / pressure - 1), MOST_SHRINK, MOST_GROWTH);
        }
    }
}
