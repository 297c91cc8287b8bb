package org.beechhoist.drain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.wire.MachineId;

/** The steps of a rolling replacement: in which order and how many machines are drained, and what makes the replacement pause. */
public final class ReplacementSteps {
    /** Requested new machines from which on failures among them count. */
    private static final int LEAST_SPARES = 3;
    /** Share of the requested new machines of which no more may fail to come up. */
    private static final double SPARES_FAIL = 0.34;
    /** Least service share with which a replacement continues; the guaranteed minimum is one half. */
    private static final double NEAR_HALF = 0.55;
    /** Machines lost within a minute that always make the replacement pause. */
    private static final int LOST_ALWAYS_PAUSES = 20;
    /** Machines lost within a minute that make it pause if they are more than {@link #LOST_SHARE} of all. */
    private static final int LOST_MAY_PAUSE = 4;

    private static final double LOST_SHARE = 0.2;
    /** Late urgent tasks from which on the replacement pauses. */
    private static final int LATE_URGENT = 10;

    private static final long MS_PER_S = 1000;

    /**
     * A machine that is to be drained and is not being drained yet.
     *
     * @param machine the machine
     * @param zone its zone
     * @param lostCpuS CPU seconds of work that would be lost if it were drained now
     * @param tasks number of tasks on it
     */
    public record Waiting(MachineId machine, String zone, double lostCpuS, int tasks) {}

    /**
     * How far a replacement has come.
     *
     * @param waiting the machines that are not being drained yet
     * @param drainingByZone number of machines that are being drained, by zone
     * @param gone number of machines that were replaced
     * @param canaryGoneMs when the last machine of the first step was gone, in wall clock time; 0: it is not
     * @param sparesUp number of new machines that are up and do not stand for an old one that is gone
     */
    public record Facts(
            List<Waiting> waiting, Map<String, Integer> drainingByZone, int gone, long canaryGoneMs, int sparesUp) {
        int draining() {
            return drainingByZone.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    /**
     * The measurements that can make a replacement pause.
     *
     * @param sparesAsked number of new machines that were requested
     * @param sparesFailed how many of these did not come up
     * @param faultyNew number of new machines on which tasks of several jobs fail
     * @param lateUrgent number of urgent tasks that the plan begins later than promised
     * @param leastShare the smallest share of its demand that a class or team is served
     * @param leastOf the class or team with that share
     * @param lostLately number of machines that were lost within the last minute
     * @param machines number of machines that there are
     */
    public record Health(
            int sparesAsked,
            int sparesFailed,
            int faultyNew,
            int lateUrgent,
            double leastShare,
            String leastOf,
            int lostLately,
            int machines) {}

    private ReplacementSteps() {}

    /** Returns why the replacement should pause, or null if it may continue. */
    public static String stopReason(Health health) {
        if (health.lostLately >= LOST_ALWAYS_PAUSES
                || health.lostLately >= LOST_MAY_PAUSE && health.lostLately > LOST_SHARE * health.machines) {
            return health.lostLately + " machines were lost within a minute";
        }
        if (health.sparesAsked >= LEAST_SPARES && health.sparesFailed > SPARES_FAIL * health.sparesAsked) {
            return health.sparesFailed + " of " + health.sparesAsked + " new machines did not come up";
        }
        if (health.faultyNew > 0) {
            return health.faultyNew + " new machines fail tasks";
        }
        if (health.leastShare < NEAR_HALF) {
            return health.leastOf + " is near its half: " + Math.round(100 * health.leastShare)
                    + "% of what it asked is served";
        }
        return health.lateUrgent >= LATE_URGENT ? health.lateUrgent + " urgent tasks begin later than promised" : null;
    }

    /**
     * Returns the machines to start draining now: those that lose least first, no more than the limits allow, and only as many as there
     * are new machines up for.
     */
    public static List<MachineId> nextMachines(DrainLimits limits, Facts facts, long nowMs) {
        boolean canary = facts.gone < limits.canary();
        boolean held = limits.canary() == 0
                || !canary && facts.canaryGoneMs > 0 && nowMs - facts.canaryGoneMs >= MS_PER_S * limits.holdS();
        int most = 0;
        if (canary) {
            most = limits.canary() - facts.gone - facts.draining();
        } else if (held) {
            most = limits.atOnce() - facts.draining();
        }
        if (limits.spare() > 0) {
            // Each spare stands for one old machine that is being drained.
            most = Math.min(most, facts.sparesUp - facts.draining());
        }
        List<Waiting> order = new ArrayList<>(facts.waiting);
        order.sort(Comparator.comparingDouble(Waiting::lostCpuS)
                .thenComparingInt(Waiting::tasks)
                .thenComparing(Waiting::machine));
        Map<String, Integer> inZone = new HashMap<>(facts.drainingByZone);
        List<MachineId> out = new ArrayList<>();
        for (Waiting waiting : order) {
            if (out.size() >= most) {
                break;
            }
            if (inZone.getOrDefault(waiting.zone, 0) < limits.perZone()) {
                inZone.merge(waiting.zone, 1, Integer::sum);
                out.add(waiting.machine);
            }
        }
        return out;
    }

    /**
     * Estimates how long the remaining replacement takes.
     *
     * @param limits how many machines are drained at once
     * @param machines number of machines that remain
     * @param gone number of machines that were replaced
     * @param machineMs how long one machine takes to become empty
     * @param spareMs how long a new machine takes to come up
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
        long first = canary > 0 ? machineMs + MS_PER_S * limits.holdS() + (limits.spare() > 0 ? spareMs : 0) : 0;
        return first + steps * (machineMs + (limits.spare() > 0 ? spareMs : 0));
    }
}
