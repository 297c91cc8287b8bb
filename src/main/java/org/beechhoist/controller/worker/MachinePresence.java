package org.beechhoist.controller.worker;

/**
 * Whether a machine that has not spoken to this leadership is there. The cloud's list lags: right after a start it names
 * machines that the last leader has returned, and a plan that counted on them once kept work waiting for 50 machines that
 * were gone, and then stopped 62 tasks for it.
 */
public final class MachinePresence {
    /** What is to be done about a machine that is silent so far. */
    public enum Assessment {
        /** The plan counts on it: it will find this node. */
        ASSUMED_PRESENT,
        /** The same, and it is asked. */
        PROBED,
        /** The plan does not count on it; it is not given up for that. */
        DOUBTED
    }

    /**
     * What is known of one that has not reported to this leadership.
     *
     * @param holdsTasks by the records
     * @param listedUp the cloud's list has it as running
     * @param unanswered questions to it in a row that nobody answered
     * @param answered it has answered a question
     */
    public record SilentMachine(
            boolean holdsTasks, boolean listedRunning, int unansweredProbes, boolean answeredProbe) {}

    /** Workers without a leader try node after node, a second each; what a start asks before is mostly on its way anyway. */
    static final long FIRST_PROBE_MS = 1000;

    private MachinePresence() {}

    /**
     * @param sinceMs since this leadership began
     * @param allReportedMs by when every living machine should have found this node
     */
    public static Assessment assess(SilentMachine machine, long sinceMs, long allReportedMs) {
        if (!machine.holdsTasks && !machine.listedRunning) {
            return Assessment.ASSUMED_PRESENT; // it boots
        }
        if (machine.answeredProbe) {
            return Assessment.ASSUMED_PRESENT;
        }
        if (machine.unansweredProbes > 0 || sinceMs > allReportedMs) {
            return Assessment.DOUBTED;
        }
        return sinceMs < FIRST_PROBE_MS ? Assessment.ASSUMED_PRESENT : Assessment.PROBED;
    }
}
