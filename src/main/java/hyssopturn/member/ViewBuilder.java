package hyssopturn.member;

import hyssopturn.member.Fact.Health;
import hyssopturn.member.View.EngineView;
import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;
import hyssopturn.port.EngineClient.EngineReport;
import hyssopturn.port.Instance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Builds views from the roster, the reports of engines and the failures that requests observed. */
final class ViewBuilder {
    private static final int MIN_PER_GROUP = 4;

    private final MemberSettings settings;
    private final Roster roster;
    private final EngineReports reports;
    private final EndpointBackoff backoff;
    private Set<InstanceId> subset = Set.of();
    private List<InstanceId> candidates = List.of();
    private long generation = -1;

    ViewBuilder(
            MemberSettings settings,
            Roster roster,
            EngineReports reports,
            EndpointBackoff backoff) {
        this.settings = settings;
        this.roster = roster;
        this.reports = reports;
        this.backoff = backoff;
    }

    View build(Duration interval, long now) {
        List<Instance> nodes = new ArrayList<>();
        Set<InstanceId> unreachable = new HashSet<>();
        List<Instance> services = new ArrayList<>();
        List<EngineView> engines = new ArrayList<>();
        List<EngineView> reported = new ArrayList<>();
        List<Instance> all = roster.instances();
        Map<Address, Instance> owners = owners(all);
        for (Instance instance : all) {
            boolean owner = owners.get(instance.address()).equals(instance);
            switch (instance.role()) {
                case Instance.Role.Node role -> {
                    nodes.add(withLeavingMark(instance));
                    if (roster.health(instance) != Health.ALIVE) {
                        unreachable.add(instance.id());
                    }
                }
                case Instance.Role.Service role -> {
                    if (owner && isUsable(instance) && !backoff.isBackingOff(instance, now)) {
                        services.add(instance);
                    }
                }
                case Instance.Role.Engine role -> {
                    Optional<EngineReport> report = reports.report(instance, interval, now);
                    if (!owner || report.isEmpty() || !isUsable(instance)) {
                        continue;
                    }
                    EngineView engine = new EngineView(instance, report.get());
                    reported.add(engine);
                    if (!backoff.isBackingOff(instance, now)) {
                        engines.add(engine);
                    }
                }
            }
        }
        refreshSubset(nodes, reported);
        List<EngineView> used =
                engines.stream().filter(e -> subset.contains(e.instance().id())).toList();
        return new View(nodes, used, services, engines, unreachable);
    }

    /** Maps each address to the instance listed there with the highest incarnation. */
    private static Map<Address, Instance> owners(List<Instance> all) {
        Map<Address, Instance> owners = new HashMap<>();
        for (Instance instance : all) {
            owners.merge(
                    instance.address(),
                    instance,
                    (a, b) -> b.incarnation() > a.incarnation() ? b : a);
        }
        return owners;
    }

    private Instance withLeavingMark(Instance i) {
        return roster.isLeaving(i.id(), i.incarnation())
                ? new Instance(i.id(), i.incarnation(), i.role(), i.address(), i.zone(), true)
                : i;
    }

    private boolean isUsable(Instance instance) {
        return !roster.isLeaving(instance.id(), instance.incarnation())
                && roster.health(instance) != Health.DEAD;
    }

    private void refreshSubset(List<Instance> nodes, List<EngineView> engines) {
        List<InstanceId> ids = engines.stream().map(e -> e.instance().id()).toList();
        long current = roster.generation() + roster.reportGeneration();
        if (generation == current && ids.equals(candidates)) {
            return;
        }
        generation = current;
        candidates = ids;
        List<Instance> alive = nodes.stream().filter(n -> roster.health(n) != Health.DEAD).toList();
        Map<Object, List<Instance>> groups = new HashMap<>();
        for (EngineView engine : engines) {
            groups.computeIfAbsent(engine.report().held(), k -> new ArrayList<>())
                    .add(engine.instance());
        }
        Subsets subsets = new Subsets(withLeavingMark(settings.self()), alive);
        subset = new HashSet<>();
        for (List<Instance> group : groups.values()) {
            int share = Math.ceilDiv(settings.subsetSize() * group.size(), engines.size());
            int size = Math.max(MIN_PER_GROUP, share);
            subset.addAll(subsets.choose(group, size));
        }
    }
}
