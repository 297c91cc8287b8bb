package org.beechhoist.drain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.wire.MachineId;

/** The steps of a rolling replacement: the order and number of machines to drain, and the conditions under which the replacement pauses. */
public final class ReplacementSteps {
    /** Number of requested new machines below which failures among them are ignored. */
    private static final int MIN_SPARES_FOR_FAILURE_CHECK = 3;
    /** Largest share of the requested new machines that may fail to come up. */
    private static final double MAX_FAILED_SPARE_SHARE = 0.34;
    /** Smallest service share with which a replacement continues; the guaranteed minimum is one half. */
    private static final double MIN_SERVICE_SHARE = 0.55;
    /** Number of machines lost within a minute that always makes the replacement pause. */
    private static final int LOST_MACHINE_PAUSE_COUNT = 20;
    /** Number of machines lost within a minute that makes it pause if they are more than {@link #MAX_LOST_MACHINE_SHARE} of all. */
    private static final int MIN_LOST_MACHINE_COUNT = 4;

    private static final double MAX_LOST_MACHINE_SHARE = 0.2;
    /** Number of late urgent tasks that makes the replacement pause. */
    private static final int LATE_URGENT_TASK_PAUSE_COUNT = 10;

    private static final long MS_PER_S = 1000;

    /**
     * A machine that is to be drained and is not being drained yet.
     *
     * @param machine the machine
     * @param zone its zone
     * @param lostCpuS CPU seconds of work that would be lost if it were drained now
     * @param tasks number of tasks on it
     */
    public record PendingMachine(MachineId machine, String zone, double lostCpuS, int tasks) {}

    /**
     * The state of a replacement.
     *
     * @param waiting the machines that are not being drained yet
     * @param drainingByZone number of machines that are being drained, by zone
     * @param gone number of machines that were replaced
     * @param canaryGoneMs wall clock time at which the last machine of the first step was gone; 0: not yet
     * @param sparesUp number of new machines that are up and have not yet replaced an old one that is gone
     */
    public record ReplacementState(
            List<PendingMachine> waiting,
            Map<String, Integer> drainingByZone,
            int gone,
            long canaryGoneMs,
            int sparesUp) {
        int draining() {
            return drainingByZone.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    /**
     * The measurements that can make a replacement pause.
     *
     * @param sparesRequested number of new machines that were requested
     * @param sparesFailed number of these that did not come up
     * @param faultySpares number of new machines on which tasks of several jobs fail
     * @param lateUrgentTasks number of urgent tasks that the plan begins later than promised
     * @param minShare the smallest share of its demand that a class or team is served
     * @param minShareGroup the class or team with that share
     * @param recentlyLostMachines number of machines that were lost within the last minute
     * @param machines number of machines that are up
     */
    public record Health(
            int sparesRequested,
            int sparesFailed,
            int faultySpares,
            int lateUrgentTasks,
            double minShare,
            String minShareGroup,
            int recentlyLostMachines,
            int machines) {}

    private ReplacementSteps() {}

    /** Returns the reason for which the replacement should pause, or null if it may continue. */
    public static String pauseReason(Health health) {
        if (health.recentlyLostMachines >= LOST_MACHINE_PAUSE_COUNT
                || health.recentlyLostMachines >= MIN_LOST_MACHINE_COUNT
                        && health.recentlyLostMachines > MAX_LOST_MACHINE_SHARE * health.machines) {
            return health.recentlyLostMachines + " machines were lost within a minute";
        }
        if (health.sparesRequested >= MIN_SPARES_FOR_FAILURE_CHECK
                && health.sparesFailed > MAX_FAILED_SPARE_SHARE * health.sparesRequested) {
            return health.sparesFailed + " of " + health.sparesRequested + " new machines did not come up";
        }
        if (health.faultySpares > 0) {
            return health.faultySpares + " new machines fail tasks";
        }
        if (health.minShare < MIN_SERVICE_SHARE) {
            return health.minShareGroup + " is near its half: " + Math.round(100 * health.minShare)
                    + "% of what it asked is served";
        }
        return health.lateUrgentTasks >= LATE_URGENT_TASK_PAUSE_COUNT
                ? health.lateUrgentTasks + " urgent tasks begin later than promised"
                : null;
    }

    /**
     * Returns the machines to start draining now: those that lose least first, within the limits, and no more than there are new machines
     * up to replace them.
     */
    public static List<MachineId> nextMachines(DrainLimits limits, ReplacementState state, long nowMs) {
        boolean inCanaryStep = state.gone < limits.canary();
        boolean holdElapsed = limits.canary() == 0
                || !inCanaryStep && state.canaryGoneMs > 0 && nowMs - state.canaryGoneMs >= MS_PER_S * limits.holdS();
        int maxCount = 0;
        if (inCanaryStep) {
            maxCount = limits.canary() - state.gone - state.draining();
        } else if (holdElapsed) {
            maxCount = limits.atOnce() - state.draining();
        }
        if (limits.spare() > 0) {
            // Each spare machine is reserved for one old machine that is being drained.
            maxCount = Math.min(maxCount, state.sparesUp - state.draining());
        }
        List<PendingMachine> byLoss = new ArrayList<>(state.waiting);
        byLoss.sort(Comparator.comparingDouble(PendingMachine::lostCpuS)
                .thenComparingInt(PendingMachine::tasks)
                .thenComparing(PendingMachine::machine));
        Map<String, Integer> drainingByZone = new HashMap<>(state.drainingByZone);
        List<MachineId> out = new ArrayList<>();
        for (PendingMachine waiting : byLoss) {
            if (out.size() >= maxCount) {
                break;
            }
            if (drainingByZone.getOrDefault(waiting.zone, 0) < limits.perZone()) {
                drainingByZone.merge(waiting.zone, 1, Integer::sum);
                out.add(waiting.machine);
            }
        }
        return out;
    }

    /**
     * Estimates the remaining duration of the replacement.
     *
     * @param limits the limits of the drain
     * @param machines number of machines that remain
     * @param gone number of machines that were replaced
     * @param machineMs time that one machine takes to become empty
     * @param spareMs time that a new machine takes to come up
     */
    public static long estimatedDurationMs(DrainLimits limits, int machines, int gone, long machineMs, long spareMs) {
        if (machines <= 0) {
            return 0;
        }
        int canary = Math.max(0, Math.min(machines, limits.canary() - gone));
        int afterCanary = machines - canary;
        long steps = limits.atOnce() >= afterCanary
                ? Math.min(1, afterCanary)
                : (afterCanary + limits.atOnce() - 1) / limits.atOnce();
        long canaryMs = canary > 0 ? machineMs + MS_PER_S * limits.holdS() + (limits.spare() > 0 ? spareMs : 0) : 0;
        return canaryMs + steps * (machineMs + (limits.spare() > 0 ? spareMs : 0));
    }
}
