package hyssopturn.place;

import hyssopturn.model.InstanceId;
import hyssopturn.model.ModelId;
import hyssopturn.model.ModelSpec;
import hyssopturn.model.Zone;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Sets of engines on different accelerators, and demands, for tests. */
final class Fleet {
    static final long GIB = 1L << 30;

    private Fleet() {}

    /** A type of accelerator: its memory and the time of a layer. */
    record Accelerator(int gib, double layerMillis) {}

    static final List<Accelerator> ACCELERATORS =
            List.of(
                    new Accelerator(16, 0.9),
                    new Accelerator(24, 0.5),
                    new Accelerator(24, 0.7),
                    new Accelerator(40, 0.3),
                    new Accelerator(48, 0.4),
                    new Accelerator(80, 0.15));

    /** Returns engines that cycle through all accelerators and through the zones. */
    static List<Worker> mixed(int count, String region, String... zones) {
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Accelerator accelerator = ACCELERATORS.get((i * 7 + i / 6) % ACCELERATORS.size());
            workers.add(
                    new Worker(
                            new InstanceId("%s-%03d".formatted(region, i)),
                            new Zone(region, zones[i % zones.length]),
                            accelerator.gib() * GIB,
                            accelerator.layerMillis(),
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

    /** Returns the demand for two models of different weight on one fleet. */
    static List<Demand> townDemand() {
        return List.of(
                demand("drafting", 48, 640, 0.7, 50), demand("letter-writer", 40, 512, 0.3, 50));
    }
}
