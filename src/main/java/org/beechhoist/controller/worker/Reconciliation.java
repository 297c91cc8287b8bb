package org.beechhoist.controller.worker;

import org.beechhoist.wire.Heartbeat;

/**
 * Reconciles what is recorded of a task with what a machine reports of it: one decision for every pair. The table is in
 * docs/design/start.md, with the proof of each row; a test goes through all pairs. It applies to every heartbeat, not
 * only during the cold-start recovery.
 */
public final class Reconciliation {
    /** What the records and the change log say of a task and this machine. */
    public enum RecordedState {
        /** The job is open; the task is neither done nor placed anywhere. */
        NOT_PLACED,
        /** The task is placed on this machine, with the attempt that the machine names. */
        PLACED,
        /** The task is placed on this machine, with the attempt that the machine names, and its job is cancelled. */
        CANCELLED,
        /** The task is placed, here or elsewhere, with a later attempt than the machine names. */
        PLACED_NEWER_ATTEMPT,
        /**
         * The task is placed with an older attempt than the machine names, or with this very attempt elsewhere: no
         * commit allows that.
         */
        PLACED_INCONSISTENT,
        /** The task is done. */
        DONE,
        /** There is no open record: the job has ended, or was never submitted. */
        NO_JOB,
        /** There is a record, or a part of the change log, that can't be read. */
        UNREADABLE
    }

    /** What the machine reports. */
    public enum ReportedState {
        /** The machine has not reported in this term. */
        NO_HEARTBEAT,
        ABSENT,
        FETCHING,
        RUNNING,
        SAVING,
        /** The task is present, in a state that this version does not know. */
        PRESENT_OTHER,
        EXITED_DONE,
        EXITED_STOPPED,
        EXITED_ERROR,
        REFUSED_FULL,
        REFUSED_BUSY,
        REFUSED_NO_SUCH,
        /** The task has exited for a cause that this version does not know. */
        EXITED_OTHER;

        /** The reported state of a task by its status in a heartbeat. */
        public static ReportedState of(Heartbeat.TaskStatus status) {
            return switch (status.state()) {
                case FETCHING -> FETCHING;
                case RUNNING -> RUNNING;
                case SAVING -> SAVING;
                case OTHER -> PRESENT_OTHER;
                case EXITED -> exitedFor(status.cause() == null ? "" : status.cause());
            };
        }

        private static ReportedState exitedFor(String cause) {
            return switch (cause) {
                case "done" -> EXITED_DONE;
                case "stopped" -> EXITED_STOPPED;
                case "error" -> EXITED_ERROR;
                case "full" -> REFUSED_FULL;
                case "busy" -> REFUSED_BUSY;
                case "no_such" -> REFUSED_NO_SUCH;
                default -> EXITED_OTHER;
            };
        }

        /** Whether the task is on the machine and has not exited. */
        public boolean isPresent() {
            return this == FETCHING || this == RUNNING || this == SAVING || this == PRESENT_OTHER;
        }

        /** Whether the task has exited on the machine, or was refused by it. */
        public boolean hasExited() {
            return ordinal() >= EXITED_DONE.ordinal();
        }
    }

    /** What is to be done. */
    public enum Decision {
        /** The task continues; no command is sent. */
        KEEP,
        /** Nothing is certain: the task counts as present, and starts nowhere else. */
        WAIT,
        /** The task certainly is not there: the placement is removed and the task waits again. */
        REMOVE,
        /** The task is recorded as done; the worker may forget it once that is committed. */
        COMPLETE,
        /** The task has failed: the job or the machine is to blame. */
        RECORD_FAILURE,
        /** The machine has no capacity for the task: it is avoided for a while, and the task waits again. */
        AVOID_MACHINE,
        /** The job's description is not there yet: the task waits for a while. */
        RETRY_LATER,
        /** The task has exited without being done: it waits again. */
        RESCHEDULE,
        /** Command: end the task at once; it counts as present until it is gone. */
        KILL,
        /** Command: drop the exited attempt from the heartbeats. */
        FORGET,
        /**
         * The exited attempt must stay in the heartbeats for now: a late launch must find it, or the commit is not made
         * yet.
         */
        RETAIN,
        /** No command is sent, and nothing new is placed beside the task: only a readable record can say what it is. */
        IGNORE
    }

    private Reconciliation() {}

    /**
     * Decides about one task.
     *
     * @param absence what the heartbeat proves of a task that it does not name
     * @param mayForget whether no command sent before can reach the machine any more, and what is known of the job is
     *     committed
     */
    public static Decision decide(
            RecordedState recorded, ReportedState reported, AbsenceEvidence absence, boolean mayForget) {
        if (recorded == RecordedState.UNREADABLE) {
            return Decision.IGNORE;
        }
        boolean placedHere = recorded == RecordedState.PLACED || recorded == RecordedState.CANCELLED;
        return placedHere ? decidePlaced(recorded, reported, absence) : decideUnknown(reported, mayForget);
    }

    /** Decides about a task that the records don't place on the machine with this attempt. */
    private static Decision decideUnknown(ReportedState reported, boolean mayForget) {
        if (reported == ReportedState.NO_HEARTBEAT || reported == ReportedState.ABSENT) {
            return Decision.KEEP;
        }
        if (reported.isPresent()) {
            return Decision.KILL;
        }
        return mayForget ? Decision.FORGET : Decision.RETAIN;
    }

    /** Decides about a task that the records place on the machine with this attempt. */
    private static Decision decidePlaced(RecordedState recorded, ReportedState reported, AbsenceEvidence absence) {
        return switch (reported) {
            case NO_HEARTBEAT -> Decision.WAIT;
            case ABSENT -> absence == AbsenceEvidence.NONE ? Decision.WAIT : Decision.REMOVE;
            case EXITED_DONE -> Decision.COMPLETE;
            case EXITED_ERROR -> Decision.RECORD_FAILURE;
            case REFUSED_FULL, REFUSED_BUSY -> Decision.AVOID_MACHINE;
            case REFUSED_NO_SUCH -> Decision.RETRY_LATER;
            case EXITED_STOPPED, EXITED_OTHER -> Decision.RESCHEDULE;
            case FETCHING, RUNNING, SAVING, PRESENT_OTHER ->
                recorded == RecordedState.CANCELLED ? Decision.KILL : Decision.KEEP;
        };
    }
}
