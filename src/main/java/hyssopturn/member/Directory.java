package hyssopturn.member;

import com.google.common.flogger.FluentLogger;

import hyssopturn.event.Detail;
import hyssopturn.event.EventRing;
import hyssopturn.member.View.EngineView;
import hyssopturn.model.InstanceId;
import hyssopturn.port.Clock;
import hyssopturn.port.EngineClient;
import hyssopturn.port.EngineClient.EngineReport;
import hyssopturn.port.Instance;
import hyssopturn.port.InstanceList;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/** Keeps the view of other instances from the instance list and the engines' own reports. */
public final class Directory {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private static final Duration SUSPICION = Duration.ofSeconds(2);

    private final InstanceList list;
    private final EngineClient engines;
    private final Clock clock;
    private final EventRing events;
    private final Duration interval;
    private final Map<InstanceId, Instance> instances = new ConcurrentHashMap<>();
    private final Map<InstanceId, EngineReport> reports = new ConcurrentHashMap<>();
    private final Map<InstanceId, Long> suspected = new ConcurrentHashMap<>();
    private final Map<InstanceId, Long> left = new ConcurrentHashMap<>();
    private volatile View view = View.EMPTY;
    private volatile boolean stopped;

    /**
     * Creates a directory that has not started.
     *
     * @param list the instance list
     * @param engines reads reports
     * @param clock time
     * @param events records changes
     * @param interval time between two readings
     */
    public Directory(
            InstanceList list,
            EngineClient engines,
            Clock clock,
            EventRing events,
            Duration interval) {
        this.list = list;
        this.engines = engines;
        this.clock = clock;
        this.events = events;
        this.interval = interval;
    }

    /** Starts reading. */
    public void start() {
        poll();
    }

    /** Stops reading. */
    public void stop() {
        stopped = true;
    }

    /**
     * Returns the view.
     *
     * @return the latest view
     */
    public View view() {
        return view;
    }

    /**
     * Notes that an endpoint failed or fell silent; it gets no new work until it shows life.
     *
     * @param id the endpoint
     * @param incarnation its incarnation; evidence on another one is ignored
     */
    public void suspect(InstanceId id, long incarnation) {
        if (isCurrent(id, incarnation) && suspected.put(id, incarnation) == null) {
            changed(id, "suspect");
            clock.after(SUSPICION, () -> alive(id, incarnation));
        }
    }

    /**
     * Notes that an endpoint takes no new work, which is final for its incarnation.
     *
     * @param id the endpoint
     * @param incarnation its incarnation; evidence on another one is ignored
     */
    public void leaving(InstanceId id, long incarnation) {
        if (isCurrent(id, incarnation) && !Long.valueOf(incarnation).equals(left.get(id))) {
            left.put(id, incarnation);
            changed(id, "leaving");
        }
    }

    /**
     * Notes that an endpoint answered, which ends a suspicion but not its leaving.
     *
     * @param id the endpoint
     * @param incarnation its incarnation; evidence on another one is ignored
     */
    public void alive(InstanceId id, long incarnation) {
        if (suspected.remove(id, incarnation)) {
            changed(id, "live");
        }
    }

    private boolean isCurrent(InstanceId id, long incarnation) {
        Instance known = instances.get(id);
        return known != null && known.incarnation() == incarnation;
    }

    private void changed(InstanceId id, String state) {
        logger.atInfo().log("instance=%s state=%s", id, state);
        events.record(new Detail.InstanceChanged(id, state));
        rebuild();
    }

    private boolean usable(Instance instance) {
        Long incarnation = instance.incarnation();
        return !instance.leaving()
                && !incarnation.equals(left.get(instance.id()))
                && !incarnation.equals(suspected.get(instance.id()));
    }

    private void poll() {
        if (stopped) {
            return;
        }
        list.list()
                .whenComplete(
                        (all, error) -> {
                            if (error == null) {
                                merge(all);
                            }
                            clock.after(interval, this::poll);
                        });
    }

    private void merge(List<Instance> all) {
        Set<InstanceId> listed = all.stream().map(Instance::id).collect(Collectors.toSet());
        instances.keySet().stream().filter(id -> !listed.contains(id)).forEach(this::gone);
        all.forEach(this::seen);
        rebuild();
    }

    private void gone(InstanceId id) {
        instances.remove(id);
        reports.remove(id);
        suspected.remove(id);
        left.remove(id);
        logger.atInfo().log("instance=%s state=gone", id);
        events.record(new Detail.InstanceChanged(id, "gone"));
    }

    private void seen(Instance instance) {
        Instance before = instances.put(instance.id(), instance);
        if (!instance.equals(before)) {
            String state = instance.leaving() ? "leaving" : "live";
            logger.atInfo().log("instance=%s state=%s", instance.id(), state);
            events.record(new Detail.InstanceChanged(instance.id(), state));
        }
        if (instance.role() instanceof Instance.Role.Engine) {
            engines.report(instance.address())
                    .whenComplete((report, error) -> reported(instance.id(), report, error));
        }
    }

    private void reported(InstanceId id, EngineReport report, Throwable error) {
        if (error == null) {
            reports.put(id, report);
        } else {
            reports.remove(id);
        }
        rebuild();
    }

    private synchronized void rebuild() {
        List<Instance> all =
                instances.values().stream().sorted((a, b) -> a.id().compareTo(b.id())).toList();
        view =
                new View(
                        all.stream().filter(i -> i.role() instanceof Instance.Role.Node).toList(),
                        all.stream()
                                .filter(i -> usable(i) && reports.containsKey(i.id()))
                                .map(i -> new EngineView(i, reports.get(i.id())))
                                .filter(e -> !e.report().draining())
                                .toList(),
                        all.stream()
                                .filter(this::usable)
                                .filter(i -> i.role() instanceof Instance.Role.Service)
                                .toList());
    }
}
