package hyssopturn.place;

import hyssopturn.model.InstanceId;
import hyssopturn.model.ModelId;
import hyssopturn.model.ModelSpec;
import hyssopturn.model.Zone;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Fleets of mixed engines for tests. */
final class Fleet {
    static final long GIB = 1L << 30;

    private Fleet() {}

    /** A kind of accelerator: its memory and its time of a layer. */
    record Kind(int gib, double layerMillis) {}

    static final List<Kind> KINDS =
            List.of(
                    new Kind(16, 0.9),
                    new Kind(24, 0.5),
                    new Kind(24, 0.7),
                    new Kind(40, 0.3),
                    new Kind(48, 0.4),
                    new Kind(80, 0.15));

    /** Engines of all kinds in turn, over some zones in turn. */
    static List<Worker> mixed(int count, String region, String... zones) {
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Kind kind = KINDS.get((i * 7 + i / 6) % KINDS.size());
            workers.add(
                    new Worker(
                            new InstanceId("%s-%03d".formatted(region, i)),
                            new Zone(region, zones[i % zones.length]),
                            kind.gib() * GIB,
                            kind.layerMillis(),
                            List.of(),
                            List.of(),
                            false));
        }
        return workers;
    }

    static List<Worker> workshop() {
        return mixed(40, "chimaltenango", "bench", "pack", "office");
    }

    static List<Worker> haven() {
        return mixed(40, "trinidad", "couva", "arima", "penal");
    }

    static Demand demand(String name, int layers, int layerMib, double weight, int betweenMillis) {
        return new Demand(
                new ModelSpec(new ModelId(name, "1"), layers, (long) layerMib << 20),
                weight,
                Duration.ofMillis(betweenMillis));
    }

    static List<Demand> workshopDemand() {
        return List.of(demand("drafting", 48, 640, 1, 50));
    }

    static List<Demand> havenDemand() {
        return List.of(demand("letter-writer", 40, 512, 1, 50));
    }

    /** Two models that share one fleet unevenly, as in a whole town. */
    static List<Demand> townDemand() {
        return List.of(
                demand("drafting", 48, 640, 0.7, 50), demand("letter-writer", 40, 512, 0.3, 50));
    }
}
