package org.beechhoist.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.beechhoist.standin.Worker;
import org.beechhoist.wire.TaskId;

/** What is looked at from outside after each event: rules that are broken end the run, the rest is counted. */
final class Rules {
    private static final double LIMIT_RED = 24;
    private static final long LOOK_MS = 2000;
    private static final long LEFT_WAITING_MS = 90_000;
    /** A launch that was on its way when the cancellation was confirmed is carried out within this, unless it is held up. */
    static final long ON_THE_WAY_MS = 1000;

    private final World w;
    /** The longest that a task was on a machine after its user was told that its job is cancelled; and starts after that, and the latest. */
    long longestAfterCancelMs;

    int startsAfterCancel;
    long latestStartAfterCancelMs;
    /** Whether it is a rule here that no task waits beside room; what drains, holds and widths keep is not known from outside. */
    boolean waits;

    long longestWaitBesideRoomMs;
    /** The most CPUs that the team with a limit used at once. */
    double mostOfRed;

    private long nextLook;
    private final Map<TaskId, Long> besideRoomSince = new HashMap<>();

    Rules(World w) {
        this.w = w;
    }

    void starts(UserJob j, TaskId t) {
        if (j.cancelToldAt >= 0) {
            startsAfterCancel++;
            latestStartAfterCancelMs = Math.max(latestStartAfterCancelMs, w.now - j.cancelToldAt);
            if (w.now - j.cancelToldAt > w.cancelMs()) {
                w.broken("ran_cancelled", t + " starts " + (w.now - j.cancelToldAt) + " ms after its user was told");
            }
        }
    }

    void check() {
        double[] red = new double[1];
        w.eachMachine((worker, reached) -> {
            for (TaskId t : worker.onMachine(w.now)) {
                UserJob j = w.jobs.get(t.job().text());
                red[0] += j.spec.team().equals("red") ? j.spec.cpus() : 0;
                if (j.cancelToldAt >= 0 && !w.hangs(worker.name)) {
                    longestAfterCancelMs = Math.max(longestAfterCancelMs, w.now - j.cancelToldAt);
                    if (w.now - j.cancelToldAt > w.cancelMs()) {
                        w.broken("ran_cancelled", t + " is on " + worker.name);
                    }
                }
            }
        });
        mostOfRed = Math.max(mostOfRed, red[0]);
        if (red[0] > LIMIT_RED + 1e-6) {
            w.broken("quota", "red uses " + red[0]);
        }
        if (waits && w.now >= nextLook) {
            nextLook = w.now + LOOK_MS;
            lookForWaiting(LIMIT_RED - red[0]);
        }
    }

    /** Once the troubles are over, no task waits for long while a machine that fits has room and its team is under its limit. */
    private void lookForWaiting(double leftOfRed) {
        Set<TaskId> held = new HashSet<>();
        Map<Worker, double[]> free = new HashMap<>();
        w.eachMachine((worker, reached) -> {
            held.addAll(worker.held());
            if (reached && !worker.noticed()) {
                free.put(worker, worker.free());
            }
        });
        Set<TaskId> seen = new HashSet<>();
        for (UserJob j : w.allJobs()) {
            if (!j.accepted
                    || j.asked
                    || j.told != null
                    || j.spec.isGang()
                    || j.spec.sameZone()
                    || j.spec.antiAffinity()
                    || j.spec.jobClass().equals("broken")
                    || j.spec.team().equals("red") && j.spec.cpus() > leftOfRed + 1e-6) {
                continue;
            }
            boolean room = free.entrySet().stream()
                    .anyMatch(e -> j.spec.fitsType(e.getKey().type)
                            && (j.spec.spot() || !e.getKey().spot)
                            && (j.spec.zone() == null || j.spec.zone().equals(e.getKey().zone))
                            && e.getValue()[0] >= j.spec.cpus()
                            && e.getValue()[1] >= j.spec.memGb()
                            && e.getValue()[2] >= j.spec.gpus());
            for (int i = 0; room && i < j.spec.tasks(); i++) {
                TaskId t = new TaskId(j.spec.id(), i);
                if (!held.contains(t) && !j.done.contains(i)) {
                    seen.add(t);
                    long waited = w.now - Math.max(besideRoomSince.computeIfAbsent(t, k -> w.now), w.calmFrom);
                    longestWaitBesideRoomMs = Math.max(longestWaitBesideRoomMs, waited);
                    if (waited > LEFT_WAITING_MS) {
                        w.broken("left_waiting", t + " waits for " + waited + " ms beside room");
                    }
                }
            }
        }
        besideRoomSince.keySet().retainAll(seen);
    }
}
