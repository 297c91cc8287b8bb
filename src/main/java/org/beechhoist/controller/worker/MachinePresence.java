package org.beechhoist.controller.worker;

/**
 * Assesses whether a machine is there that has not reported in this term. The cloud's list lags: at the beginning of a
 * term it names machines that the last leader has returned. A plan that counted on them once kept work waiting for 50
 * machines that were gone, and then preempted 62 tasks for it.
 */
public final class MachinePresence {
    /** What is done about a machine that has been silent so far. */
    public enum Assessment {
        /** The plan counts on it: it is expected to find this node. */
        PRESUMED_PRESENT,
        /** The plan counts on it, and it is probed. */
        NEEDS_PROBE,
        /** The plan does not count on it; that alone does not make it given up. */
        PRESUMED_ABSENT
    }

    /**
     * What is known of a machine that has not reported in this term.
     *
     * @param holdsTasks whether tasks are placed on it by the records
     * @param listedRunning whether the cloud lists it as running
     * @param unansweredProbes how many probes of it in a row have had no answer
     * @param answeredProbe whether it has answered a probe
     */
    public record UnreportedMachine(
            boolean holdsTasks, boolean listedRunning, int unansweredProbes, boolean answeredProbe) {}

    /**
     * How long after a term began the first probes are sent. Workers without a leader try node after node, for a second
     * each; most of those that were probed sooner would be about to report anyway.
     */
    static final long FIRST_PROBE_DELAY_MS = 1000;

    private MachinePresence() {}

    /**
     * Assesses a machine.
     *
     * @param sinceMs how long ago this term began
     * @param allReportedMs by when, after the term began, every living machine should have found this node
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
