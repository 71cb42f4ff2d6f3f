package hyssopturn.quarantine;

import java.util.List;

/** What a node tells the other nodes about parts of prompts. */
public sealed interface QuarantineReport {
    /**
     * An engine crashed.
     *
     * @param run the run of the engine that ended
     * @param requests for each request that was about to begin there, ids of its suspected parts
     */
    record Crash(EngineRun run, List<List<String>> requests) implements QuarantineReport {
        /** Copies the lists. */
        public Crash {
            requests = requests.stream().map(List::copyOf).toList();
        }
    }

    /**
     * Requests with parts that a crash was met by began some time before it.
     *
     * @param parts ids of the parts
     */
    record Known(List<String> parts) implements QuarantineReport {
        /** Copies the list. */
        public Known {
            parts = List.copyOf(parts);
        }
    }

    /**
     * Requests began after a crash that their parts were suspected of.
     *
     * @param parts ids of the parts
     */
    record Begun(List<String> parts) implements QuarantineReport {
        /** Copies the list. */
        public Begun {
            parts = List.copyOf(parts);
        }
    }
}
