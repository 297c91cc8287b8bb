package org.beechhoist.controller.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.beechhoist.controller.worker.Reconciliation.Decision;
import org.beechhoist.controller.worker.Reconciliation.RecordedState;
import org.beechhoist.controller.worker.Reconciliation.ReportedState;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.Heartbeat;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.TaskId;
import org.junit.jupiter.api.Test;

/** Checks every row of the table in docs/design/start.md: every pair of recorded and reported state. */
class ReconciliationTest {
    private static final Set<RecordedState> PLACED_HERE = EnumSet.of(RecordedState.PLACED, RecordedState.CANCELLED);

    /** The rows of the design document, in a second formulation that is independent of the code under test. */
    private static Decision expected(
            RecordedState stored, ReportedState reported, AbsenceEvidence evidence, boolean mayForget) {
        if (stored == RecordedState.UNREADABLE) {
            return Decision.IGNORE;
        }
        if (!PLACED_HERE.contains(stored)) {
            return reported.isPresent()
                    ? Decision.KILL
                    : !reported.hasExited() ? Decision.KEEP : mayForget ? Decision.FORGET : Decision.RETAIN;
        }
        return switch (reported) {
            case NO_HEARTBEAT -> Decision.WAIT;
            case ABSENT -> evidence == AbsenceEvidence.NONE ? Decision.WAIT : Decision.REMOVE;
            case FETCHING, RUNNING, SAVING, PRESENT_OTHER ->
                stored == RecordedState.CANCELLED ? Decision.KILL : Decision.KEEP;
            case EXITED_DONE -> Decision.COMPLETE;
            case EXITED_ERROR -> Decision.RECORD_FAILURE;
            case REFUSED_FULL, REFUSED_BUSY -> Decision.AVOID_MACHINE;
            case REFUSED_NO_SUCH -> Decision.RETRY_LATER;
            case EXITED_STOPPED, EXITED_OTHER -> Decision.RESCHEDULE;
        };
    }

    @Test
    void everyPairOfStatesHasTheExpectedDecision() {
        int pairs = 0;
        for (RecordedState stored : RecordedState.values()) {
            for (ReportedState reported : ReportedState.values()) {
                for (AbsenceEvidence evidence : AbsenceEvidence.values()) {
                    for (boolean mayForget : new boolean[] {false, true}) {
                        Decision d = Reconciliation.decide(stored, reported, evidence, mayForget);
                        assertNotNull(d);
                        assertEquals(
                                expected(stored, reported, evidence, mayForget),
                                d,
                                stored + ", " + reported + ", " + evidence + ", " + mayForget);
                        pairs++;
                    }
                }
            }
        }
        assertEquals(8 * 13 * 3 * 2, pairs);
    }

    /**
     * Guards the safety property apart from the rows: a task that is present is never considered gone, and an absent
     * one only with evidence.
     */
    @Test
    void noPresentTaskIsRemovedWithoutEvidence() {
        for (RecordedState stored : RecordedState.values()) {
            for (ReportedState reported : ReportedState.values()) {
                Decision d = Reconciliation.decide(stored, reported, AbsenceEvidence.NONE, true);
                boolean removed = d == Decision.REMOVE
                        || d == Decision.RESCHEDULE
                        || d == Decision.COMPLETE
                        || d == Decision.RECORD_FAILURE
                        || d == Decision.AVOID_MACHINE
                        || d == Decision.RETRY_LATER;
                assertTrue(!removed || reported.hasExited(), stored + ", " + reported + ": " + d);
                assertTrue(d != Decision.KILL || reported.isPresent(), stored + ", " + reported + ": " + d);
                assertTrue(d != Decision.FORGET || reported.hasExited(), stored + ", " + reported + ": " + d);
            }
        }
    }

    @Test
    void exitCausesMapToReportedStates() {
        assertEquals(ReportedState.EXITED_DONE, reportedState(Heartbeat.TaskState.EXITED, "done"));
        assertEquals(ReportedState.REFUSED_NO_SUCH, reportedState(Heartbeat.TaskState.EXITED, "no_such"));
        assertEquals(
                ReportedState.EXITED_OTHER, reportedState(Heartbeat.TaskState.EXITED, "a word of a later version"));
        assertEquals(ReportedState.EXITED_OTHER, reportedState(Heartbeat.TaskState.EXITED, null));
        assertEquals(ReportedState.PRESENT_OTHER, reportedState(Heartbeat.TaskState.OTHER, null));
    }

    private static ReportedState reportedState(Heartbeat.TaskState state, String cause) {
        return ReportedState.of(new Heartbeat.TaskStatus(TaskId.parse("job-1/0"), 1, state, cause, false));
    }

    private static Heartbeat heartbeat(long epoch, long sequence, long token) {
        return new Heartbeat(
                new MachineId("m"), "a", "t", "z", false, epoch, sequence, new FencingToken(token), null, List.of());
    }

    @Test
    void absenceIsProvenOnlyIfNoLaunchCanFollow() {
        AbsenceEvidence.PendingCommands none = new AbsenceEvidence.PendingCommands(false, FencingToken.NONE);
        AbsenceEvidence.Launch recovered = new AbsenceEvidence.Launch(true, new FencingToken(9), 0, 0);
        assertEquals(
                AbsenceEvidence.NONE,
                AbsenceEvidence.of(recovered, none, heartbeat(1, 5, 8)),
                "a launch by an earlier leader may follow");
        assertEquals(AbsenceEvidence.NEWER_HEARTBEAT, AbsenceEvidence.of(recovered, none, heartbeat(1, 6, 9)));
        AbsenceEvidence.Launch sent = new AbsenceEvidence.Launch(true, FencingToken.NONE, 2, 10);
        assertEquals(
                AbsenceEvidence.NONE,
                AbsenceEvidence.of(sent, none, heartbeat(2, 10, 9)),
                "the heartbeat is as old as the launch");
        assertEquals(AbsenceEvidence.NEWER_HEARTBEAT, AbsenceEvidence.of(sent, none, heartbeat(2, 11, 9)));
        assertEquals(
                AbsenceEvidence.NEW_EPOCH,
                AbsenceEvidence.of(
                        sent, new AbsenceEvidence.PendingCommands(true, new FencingToken(50)), heartbeat(3, 1, 0)));
        assertEquals(
                AbsenceEvidence.NONE,
                AbsenceEvidence.of(
                        sent, new AbsenceEvidence.PendingCommands(true, FencingToken.NONE), heartbeat(2, 11, 9)),
                "commands are in flight");
        assertEquals(
                AbsenceEvidence.NONE,
                AbsenceEvidence.of(
                        sent, new AbsenceEvidence.PendingCommands(false, new FencingToken(9)), heartbeat(2, 11, 9)),
                "an unacknowledged launch may arrive late");
        assertEquals(
                AbsenceEvidence.NONE,
                AbsenceEvidence.of(
                        new AbsenceEvidence.Launch(false, FencingToken.NONE, 0, 0), none, heartbeat(1, 1, 9)),
                "not launched");
    }
}
