package org.beechhoist.controller.worker;

/**
 * Assesses whether a machine that has not reported in this term is present. The cloud's list lags: at the beginning of
 * a term it includes machines that the previous leader returned. A plan that relied on them kept work waiting for 50
 * machines that were gone, and then preempted 62 tasks for it.
 */
public final class MachinePresence {
    /** The assessment of a machine that has not reported yet. */
    public enum Assessment {
        /** The plan uses it: it is expected to find this node. */
        PRESUMED_PRESENT,
        /** The plan uses it, and it is probed. */
        NEEDS_PROBE,
        /** The plan does not use it; this alone does not cause its return. */
        PRESUMED_ABSENT
    }

    /**
     * The known state of a machine that has not reported in this term.
     *
     * @param holdsTasks whether tasks are placed on it by the records
     * @param listedRunning whether the cloud lists it as running
     * @param unansweredProbes the number of consecutive unanswered probes of it
     * @param answeredProbe whether it has answered a probe
     */
    public record UnreportedMachine(
            boolean holdsTasks, boolean listedRunning, int unansweredProbes, boolean answeredProbe) {}

    /**
     * The time after the beginning of a term at which the first probes are sent. Workers without a leader try node
     * after node, for a second each; most of those that were probed sooner are about to report anyway.
     */
    static final long FIRST_PROBE_DELAY_MS = 1000;

    private MachinePresence() {}

    /**
     * Assesses a machine.
     *
     * @param sinceMs the time since this term began
     * @param allReportedMs the time after the beginning of the term by which every running machine should have found
     *     this node
     */
    public static Assessment assess(UnreportedMachine machine, long sinceMs, long allReportedMs) {
        if (!machine.holdsTasks && !machine.listedRunning) {
            return Assessment.PRESUMED_PRESENT; // it is booting
        }
        if (machine.answeredProbe) {
            return Assessment.PRESUMED_PRESENT;
        }
        if (machine.unansweredProbes > 0 || sinceMs > allReportedMs) {
            return Assessment.PRESUMED_ABSENT;
        }
        return sinceMs < FIRST_PROBE_DELAY_MS ? Assessment.PRESUMED_PRESENT : Assessment.NEEDS_PROBE;
    }
}
