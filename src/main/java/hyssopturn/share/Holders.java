package hyssopturn.share;

import hyssopturn.model.Address;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Forms of the holders of partitions in messages. */
final class Holders {
    /** Greatest number of partitions in a row. */
    private static final int MAX_PARTITIONS = 64;

    private static final long PRIME = 0x100000001B3L;

    private Holders() {}

    /** Returns a number that differs for other holders, with near certainty. */
    static long fingerprint(Map<Integer, Address> holders) {
        long hash = holders.size();
        for (Map.Entry<Integer, Address> entry : new TreeMap<>(holders).entrySet()) {
            hash = (hash ^ entry.getKey()) * PRIME;
            hash = (hash ^ entry.getValue().host().hashCode()) * PRIME;
            hash = (hash ^ entry.getValue().port()) * PRIME;
        }
        return hash;
    }

    static List<ShareMessage.Holding> rows(Map<Integer, Address> holders) {
        Map<Address, List<Integer>> held = new HashMap<>();
        holders.forEach((p, node) -> held.computeIfAbsent(node, n -> new ArrayList<>()).add(p));
        List<ShareMessage.Holding> rows = new ArrayList<>();
        held.forEach(
                (node, partitions) -> {
                    for (int i = 0; i < partitions.size(); i += MAX_PARTITIONS) {
                        int end = Math.min(partitions.size(), i + MAX_PARTITIONS);
                        rows.add(new ShareMessage.Holding(node, partitions.subList(i, end)));
                    }
                });
        return rows;
    }

    static Map<Integer, Address> map(List<ShareMessage.Holding> rows) {
        Map<Integer, Address> holders = new HashMap<>();
        rows.forEach(row -> row.partitions().forEach(p -> holders.put(p, row.node())));
        return holders;
    }
}
