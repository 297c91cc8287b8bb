package org.beechhoist.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.beechhoist.config.Policy;
import org.beechhoist.standin.StateService;
import org.beechhoist.standin.Worker;
import org.beechhoist.wire.TaskId;

/** Machines with GPUs, replicas of services that come and go on them, and what is seen of moves from outside. */
final class Gpus {
    final World w;
    /** How long each replica that was running was out of service, in ms, its first start left aside. */
    long outOfServiceMs;

    private final Map<TaskId, Long> goneAt = new HashMap<>();
    private final Map<TaskId, Integer> seen = new HashMap<>();
    private final Map<TaskId, Long> movedAt = new HashMap<>();
    int moves;
    /** Replicas stopped by command twice within that time; a machine that is lost moves nobody. */
    int twiceTooSoon;
    /** Replicas that were stopped while another of their service, stopped before, was still away. */
    int underFloor;

    private final Set<TaskId> away = new HashSet<>();

    Gpus(World w) {
        this.w = w;
        w.stopped = this::stopped;
        w.every(500, this::look);
    }

    static World world(long seed, int nodes, int zones, int perKind, Policy policy) {
        Extent x = Extent.strict();
        x.leaseS = 26;
        x.zones = zones;
        x.gpus = true;
        return new World(seed, new WorldScale(nodes, perKind, 3000, 500, StateService.KEPT_CHANGES, policy).with(x));
    }

    /** A service of some replicas; returns its job's name. */
    String service(int replicas, int gpus, double weightsGb) {
        return job(true, replicas, gpus, weightsGb, 0, "normal");
    }

    String job(boolean service, int tasks, int gpus, double weightsGb, double seconds, String urgency) {
        String ref = String.format("job-%06d", w.nextJob());
        w.submit(service ? "serve" : "batch", service, tasks, gpus * 4, seconds, n -> n.put("owner", "blue")
                .put("urgency", urgency)
                .put("loaner", false)
                .put("accelerators", (double) gpus)
                .put("memGb", gpus * 32.0)
                .put("bundle", "w-" + (int) weightsGb)
                .put("pullGb", weightsGb)
                .set("hosttypes", org.beechhoist.wire.Codec.list().add("g8")));
        return ref;
    }

    /** Pieces on all machines: small services fill them, and some are cancelled. */
    void fragmented(int services, int cancelled) {
        List<String> refs = new ArrayList<>();
        for (int i = 0; i < services; i++) {
            w.later(2000 + 300L * i, () -> refs.add(service(2, 1 + w.random.nextInt(2), 5)));
        }
        w.later(50_000, () -> {
            for (int i = 0; i < cancelled; i++) {
                w.cancel(refs.remove(w.random.nextInt(refs.size())));
            }
        });
    }

    /** Free GPUs of machines that are up. */
    int free() {
        return w.machineNames().stream().mapToInt(m -> 8 - used(m)).sum();
    }

    private int used(String host) {
        return w.on(host).stream()
                .mapToInt(t -> (int) w.userJob(t.job().text()).spec.gpus())
                .sum();
    }

    int whole() {
        return (int) w.machineNames().stream().filter(m -> used(m) == 0).count();
    }

    private void stopped(TaskId t) {
        UserJob j = w.userJob(t.job().text());
        if (j.spec.isService() && !w.cancelled(j)) {
            away.removeAll(w.running());
            underFloor += away.stream().anyMatch(o -> o.job().equals(t.job()) && !o.equals(t)) ? 1 : 0;
            away.add(t);
            Long before = movedAt.put(t, w.now);
            twiceTooSoon += before != null && w.now - before < 290_000 ? 1 : 0;
        }
    }

    private void look() {
        List<TaskId> running = w.running();
        away.removeAll(running);
        w.starts.forEach((t, n) -> {
            UserJob j = w.userJob(t.job().text());
            if (!j.spec.isService() || w.cancelled(j)) {
                goneAt.remove(t);
                return;
            }
            boolean there = running.contains(t);
            Integer before = seen.put(t, n);
            if (before != null && !n.equals(before)) {
                moves++;
                outOfServiceMs += goneAt.containsKey(t) ? w.now - goneAt.get(t) : 0;
                goneAt.remove(t);
            } else if (!there) {
                goneAt.putIfAbsent(t, w.now);
            }
        });
    }

    int lapsed() {
        return w.toll.lost(Worker.End.LAPSED);
    }
}
