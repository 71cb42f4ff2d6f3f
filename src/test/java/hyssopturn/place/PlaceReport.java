package hyssopturn.place;

import java.util.List;

/** Prints the predictions for the planner and for an even split, and the time of planning. */
final class PlaceReport {
    private static final int WARMUPS = 5;
    private static final int RUNS = 10;
    private static final double NANOS_PER_MILLI = 1e6;

    private PlaceReport() {}

    /**
     * Prints the comparisons and the times.
     *
     * @param args not used
     */
    public static void main(String[] args) {
        compare("workshop", Fleet.workshopDemand(), Fleet.workshop());
        compare("haven", Fleet.havenDemand(), Fleet.haven());
        compare("town", Fleet.townDemand(), Fleet.workshop());
        List<Worker> dozen = Fleet.workshop().subList(0, 12);
        compare("dozen", Fleet.workshopDemand(), dozen);
        for (int count : List.of(40, 150, 300, 600)) {
            List<Worker> workers = Fleet.mixed(count, "west", "a", "b", "c", "d");
            time(Fleet.townDemand(), workers);
        }
    }

    private static void compare(String site, List<Demand> demands, List<Worker> workers) {
        Planner planner = new Planner(Links.BY_DISTANCE);
        print(site + " planned", demands, workers, planner.plan(demands, workers));
        for (Demand demand : demands) {
            double layers = workers.stream().mapToDouble(w -> 1_000 / w.layerMillis()).sum();
            System.out.printf(
                    "%s bound if all served %s: %.0f%n",
                    site, demand.model().id().name(), layers / demand.model().layers());
        }
        print(site + " even", demands, workers, EvenSplit.plan(demands, workers));
    }

    private static void print(String name, List<Demand> demands, List<Worker> workers, Plan plan) {
        Prediction prediction = Prediction.of(demands, workers, plan, Links.BY_DISTANCE);
        System.out.printf(
                "%s whole=%.0f slowest=%.0f token-ms=%.1f uncovered=%d single-zone=%d%n",
                name,
                prediction.tokensPerSecond(),
                prediction.minRate(),
                prediction.tokenMillis(),
                prediction.score().uncovered(),
                prediction.score().singleZone());
    }

    private static void time(List<Demand> demands, List<Worker> workers) {
        Planner planner = new Planner(Links.BY_DISTANCE);
        for (int i = 0; i < WARMUPS; i++) {
            planner.plan(demands, workers);
        }
        long start = System.nanoTime();
        for (int i = 0; i < RUNS; i++) {
            planner.plan(demands, workers);
        }
        double millis = (System.nanoTime() - start) / NANOS_PER_MILLI / RUNS;
        System.out.printf("plan workers=%d ms=%.1f%n", workers.size(), millis);
    }
}
