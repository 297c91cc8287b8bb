package org.beechhoist.drain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.wire.MachineId;

/** In which order machines are begun, how many now, and what a replacement waits for. */
public final class Waves {
    /** A machine that is to be emptied and has not been begun; {@code lostCpuS} what it would throw away now. */
    public record Waiting(MachineId host, String zone, double lostCpuS, int tasks) {}

    /**
     * How far it has come.
     *
     * @param handByZone machines in hand
     * @param gone machines that were replaced
     * @param canaryGoneMs when the last of the first step was gone, by the time of day; 0: it is not
     * @param sparesUp machines that are up beside the old ones and were not used for one yet
     */
    public record Facts(
            List<Waiting> waiting, Map<String, Integer> handByZone, int gone, long canaryGoneMs, int sparesUp) {
        int inHand() {
            return handByZone.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    /**
     * What speaks against going on.
     *
     * @param sparesFailed of {@code sparesAsked} new machines, those that did not come up
     * @param faultyNew new machines that tasks of several jobs fail on
     * @param lateUrgent urgent tasks that the plan begins later than promised
     * @param leastShare of a class or team that is served, and {@code leastOf} which
     * @param lostLately machines that were lost within the last minute, of {@code machines} that are there
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

    private static final int LEAST_SPARES = 3;
    private static final double SPARES_FAIL = 0.34;
    private static final double NEAR_HALF = 0.55;
    private static final int A_FALL = 20;
    private static final int LEAST_FALL = 4;
    private static final double A_PART = 0.2;
    private static final int LATE_URGENT = 10;

    private Waves() {}

    /** Why it should not go on, or null. */
    public static String stops(Health health) {
        if (health.lostLately >= A_FALL
                || health.lostLately >= LEAST_FALL && health.lostLately > A_PART * health.machines) {
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

    /** Machines to begin now: what loses least first, no more than the pace allows, and only as many as spares are up for. */
    public static List<MachineId> next(Pace pace, Facts facts, long nowMs) {
        boolean canary = facts.gone < pace.canary();
        boolean held = pace.canary() == 0
                || !canary && facts.canaryGoneMs > 0 && nowMs - facts.canaryGoneMs >= 1000 * pace.holdS();
        int most = canary ? pace.canary() - facts.gone - facts.inHand() : !held ? 0 : pace.atOnce() - facts.inHand();
        if (pace.spare() > 0) {
            // Each spare stands for one old machine that is in hand.
            most = Math.min(most, facts.sparesUp - facts.inHand());
        }
        List<Waiting> order = new ArrayList<>(facts.waiting);
        order.sort(Comparator.comparingDouble(Waiting::lostCpuS)
                .thenComparingInt(Waiting::tasks)
                .thenComparing(Waiting::host));
        Map<String, Integer> inZone = new HashMap<>(facts.handByZone);
        List<MachineId> out = new ArrayList<>();
        for (Waiting waiting : order) {
            if (out.size() >= most) {
                break;
            }
            if (inZone.getOrDefault(waiting.zone, 0) < pace.perZone()) {
                inZone.merge(waiting.zone, 1, Integer::sum);
                out.add(waiting.host);
            }
        }
        return out;
    }

    /** How long all of it takes by the pace and what one machine takes. */
    public static long lastsMs(Pace pace, int machines, int gone, long machineMs, long spareMs) {
        if (machines <= 0) {
            return 0;
        }
        int canary = Math.max(0, Math.min(machines, pace.canary() - gone));
        int rest = machines - canary;
        long waves = pace.atOnce() >= rest ? Math.min(1, rest) : (rest + pace.atOnce() - 1) / pace.atOnce();
        long first = canary > 0 ? machineMs + 1000 * pace.holdS() + (pace.spare() > 0 ? spareMs : 0) : 0;
        return first + waves * (machineMs + (pace.spare() > 0 ? spareMs : 0));
    }
}
