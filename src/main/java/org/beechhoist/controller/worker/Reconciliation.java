package org.beechhoist.controller.worker;

import org.beechhoist.wire.Heartbeat;

/**
 * What is stored of a task, held against what a machine says of it: one decision for every pair. The table stands, with
 * the proof of each row, in docs/design/start.md; a test goes through all pairs. It serves each report, not those of a start alone.
 */
public final class Reconciliation {
    /** What records and log say of a task and this machine. */
    public enum RecordedState {
        /** The job is open, the task neither done nor placed anywhere. */
        NOTHING,
        /** Placed on this machine, with the attempt that the machine names. */
        PLACED,
        /** The same, and its job is cancelled. */
        CANCELLED,
        /** Placed, here or elsewhere, under a later attempt than the machine names. */
        PLACED_LATER,
        /** Placed under an older attempt than the machine names, or this very attempt elsewhere: no commit of ours says that. */
        PLACED_INCONSISTENT,
        /** Done. */
        DONE,
        /** No open record: the job has ended, or nobody ever submitted it. */
        NO_JOB,
        /** There is a record, or a part of the log, that can't be read. */
        UNREADABLE
    }

    /** What the machine says. */
    public enum ReportedState {
        /** It has not reported to this leadership. */
        NO_HEARTBEAT,
        ABSENT,
        FETCHING,
        RUNNING,
        SAVING,
        /** A state that this version has no word for: it is there. */
        PRESENT_OTHER,
        EXITED_DONE,
        EXITED_STOPPED,
        EXITED_ERROR,
        REFUSED_FULL,
        REFUSED_BUSY,
        REFUSED_NO_SUCH,
        /** Ended for a cause that this version has no word for. */
        EXITED_OTHER;

        public static ReportedState of(Heartbeat.TaskStatus status) {
            return switch (status.state()) {
                case FETCHING -> FETCHING;
                case RUNNING -> RUNNING;
                case SAVING -> SAVING;
                case OTHER -> PRESENT_OTHER;
                case EXITED ->
                    switch (status.cause() == null ? "" : status.cause()) {
                        case "done" -> EXITED_DONE;
                        case "stopped" -> EXITED_STOPPED;
                        case "error" -> EXITED_ERROR;
                        case "full" -> REFUSED_FULL;
                        case "busy" -> REFUSED_BUSY;
                        case "no_such" -> REFUSED_NO_SUCH;
                        default -> EXITED_OTHER;
                    };
            };
        }

        public boolean isPresent() {
            return this == FETCHING || this == RUNNING || this == SAVING || this == PRESENT_OTHER;
        }

        public boolean hasExited() {
            return ordinal() >= EXITED_DONE.ordinal();
        }
    }

    /** What follows. */
    public enum Decision {
        /** It goes on; no order. */
        KEEP,
        /** Nothing is certain: it counts as there, and starts nowhere else. */
        WAIT,
        /** It certainly is not there: the placement is taken off and the task waits again. */
        REMOVE,
        /** It is recorded as done; it may be forgotten once that is committed. */
        COMPLETE,
        /** It failed: job or machine is to blame. */
        RECORD_FAILURE,
        /** The machine has no room for it: it is left alone for a while, the task waits again. */
        AVOID_MACHINE,
        /** The job's description is not there yet: the task waits a while. */
        RETRY_LATER,
        /** It ended without having been done: the task waits again. */
        RESCHEDULE,
        /** Order: end it at once; it counts as there until it is gone. */
        KILL,
        /** Order: take the ended attempt off the reports. */
        FORGET,
        /** An ended attempt that must stay in the reports for now: a late launch would find it, or the commit is not made. */
        RETAIN,
        /** Nothing is ordered and nothing new placed beside it: only a record that can be read may say what it is. */
        IGNORE
    }

    private Reconciliation() {}

    /**
     * @param absence what the report proves of a task that is not in it
     * @param mayForget no command sent before can reach the machine any more, and what is known of the job is committed
     */
    public static Decision decide(
            RecordedState stored, ReportedState said, AbsenceEvidence absence, boolean mayForget) {
        if (stored == RecordedState.UNREADABLE) {
            return Decision.IGNORE;
        }
        boolean ours = stored == RecordedState.PLACED || stored == RecordedState.CANCELLED;
        if (said == ReportedState.NO_HEARTBEAT) {
            return ours ? Decision.WAIT : Decision.KEEP;
        }
        if (said == ReportedState.ABSENT) {
            return !ours ? Decision.KEEP : absence == AbsenceEvidence.NONE ? Decision.WAIT : Decision.REMOVE;
        }
        if (!ours) {
            return said.isPresent() ? Decision.KILL : mayForget ? Decision.FORGET : Decision.RETAIN;
        }
        return switch (said) {
            case EXITED_DONE -> Decision.COMPLETE;
            case EXITED_ERROR -> Decision.RECORD_FAILURE;
            case REFUSED_FULL, REFUSED_BUSY -> Decision.AVOID_MACHINE;
            case REFUSED_NO_SUCH -> Decision.RETRY_LATER;
            case EXITED_STOPPED, EXITED_OTHER -> Decision.RESCHEDULE;
            default -> stored == RecordedState.CANCELLED ? Decision.KILL : Decision.KEEP;
        };
    }
}
