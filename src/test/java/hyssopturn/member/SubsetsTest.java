package hyssopturn.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.model.Zone;
import hyssopturn.port.Instance;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

class SubsetsTest {
    private static final int SIZE = 48;

    private static List<Instance> instances(String name, int count, int zones) {
        List<Instance> result = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Zone zone = new Zone(i % zones < (zones + 1) / 2 ? "east" : "west", "z" + i % zones);
            result.add(
                    new Instance(
                            new InstanceId(name + i),
                            1,
                            new Instance.Role.Service("any"),
                            new Address("10.0.0.1", i + 1),
                            zone,
                            false));
        }
        return result;
    }

    private static Map<InstanceId, Set<InstanceId>> all(
            List<Instance> nodes, List<Instance> endpoints) {
        Map<InstanceId, Set<InstanceId>> result = new HashMap<>();
        for (Instance node : nodes) {
            result.put(node.id(), new Subsets(node, nodes).choose(endpoints, SIZE));
        }
        return result;
    }

    @Nested
    class FewNodes {
        @Test
        void useEveryEndpoint() {
            List<Instance> nodes = instances("node", 7, 3);
            List<Instance> endpoints = instances("engine", 600, 3);
            all(nodes, endpoints).values().forEach(s -> assertThat(s.size(), is(600)));
        }
    }

    @Nested
    class ManyNodes {
        private final List<Instance> nodes = instances("node", 400, 4);
        private final List<Instance> endpoints = instances("engine", 600, 4);

        @Test
        void useEveryEndpointEvenly() {
            Map<InstanceId, Integer> users = new HashMap<>();
            all(nodes, endpoints)
                    .values()
                    .forEach(s -> s.forEach(e -> users.merge(e, 1, Integer::sum)));
            assertThat(users.size(), is(600));
            int max = users.values().stream().mapToInt(u -> u).max().orElse(0);
            int min = users.values().stream().mapToInt(u -> u).min().orElse(0);
            System.out.println("subset users least=" + min + " most=" + max);
            assertThat(max - min, lessThanOrEqualTo(2));
        }

        @Test
        void moveLittleWhenAnEndpointIsRemoved() {
            List<Instance> fewer = new ArrayList<>(endpoints);
            fewer.remove(300);
            assertMoves(all(nodes, endpoints), all(nodes, fewer), "endpoint");
        }

        @Test
        void moveLittleWhenANodeIsRemoved() {
            List<Instance> fewer = new ArrayList<>(nodes);
            fewer.remove(200);
            assertMoves(all(nodes, endpoints), all(fewer, endpoints), "node");
        }

        private void assertMoves(
                Map<InstanceId, Set<InstanceId>> before,
                Map<InstanceId, Set<InstanceId>> after,
                String removed) {
            int pairs = 0;
            int moved = 0;
            for (Map.Entry<InstanceId, Set<InstanceId>> entry : after.entrySet()) {
                Set<InstanceId> added = new HashSet<>(entry.getValue());
                added.removeAll(before.get(entry.getKey()));
                pairs += entry.getValue().size();
                moved += added.size();
            }
            System.out.println("subset gone=" + removed + " pairs=" + pairs + " moved=" + moved);
            assertThat(moved * 20, lessThanOrEqualTo(pairs));
        }

        @Test
        void useEveryEndpointOfAZoneWithoutNodes() {
            List<Instance> few = nodes.stream().filter(n -> !n.zone().name().equals("z1")).toList();
            Set<InstanceId> used = new HashSet<>();
            all(few, endpoints).values().forEach(used::addAll);
            assertThat(used.size(), is(600));
        }
    }
}
