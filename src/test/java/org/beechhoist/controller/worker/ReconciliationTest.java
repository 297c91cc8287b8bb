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

/** The table of docs/design/start.md, all of it: every pair of what is stored and what a machine says. */
class ReconciliationTest {
    private static final Set<RecordedState> OURS = EnumSet.of(RecordedState.PLACED, RecordedState.CANCELLED);

    /** What the design note's rows say, written once more and otherwise: by decision, not by pair. */
    private static Decision expected(
            RecordedState stored, ReportedState said, AbsenceEvidence evidence, boolean mayForget) {
        if (stored == RecordedState.UNREADABLE) {
            return Decision.IGNORE;
        }
        if (!OURS.contains(stored)) {
            return said.isPresent()
                    ? Decision.KILL
                    : !said.hasExited() ? Decision.KEEP : mayForget ? Decision.FORGET : Decision.RETAIN;
        }
        return switch (said) {
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
    void everyPairHasARow() {
        int pairs = 0;
        for (RecordedState stored : RecordedState.values()) {
            for (ReportedState said : ReportedState.values()) {
                for (AbsenceEvidence evidence : AbsenceEvidence.values()) {
                    for (boolean mayForget : new boolean[] {false, true}) {
                        Decision d = Reconciliation.decide(stored, said, evidence, mayForget);
                        assertNotNull(d);
                        assertEquals(
                                expected(stored, said, evidence, mayForget),
                                d,
                                stored + ", " + said + ", " + evidence + ", " + mayForget);
                        pairs++;
                    }
                }
            }
        }
        assertEquals(8 * 13 * 3 * 2, pairs);
    }

    /** Safety, apart from the rows: nothing that is there is ever taken for gone, nothing absent without evidence. */
    @Test
    void noRowTakesATaskOffWithoutEvidence() {
        for (RecordedState stored : RecordedState.values()) {
            for (ReportedState said : ReportedState.values()) {
                Decision d = Reconciliation.decide(stored, said, AbsenceEvidence.NONE, true);
                boolean takenOff = d == Decision.REMOVE
                        || d == Decision.RESCHEDULE
                        || d == Decision.COMPLETE
                        || d == Decision.RECORD_FAILURE
                        || d == Decision.AVOID_MACHINE
                        || d == Decision.RETRY_LATER;
                assertTrue(!takenOff || said.hasExited(), stored + ", " + said + ": " + d);
                assertTrue(d != Decision.KILL || said.isPresent(), stored + ", " + said + ": " + d);
                assertTrue(d != Decision.FORGET || said.hasExited(), stored + ", " + said + ": " + d);
            }
        }
    }

    @Test
    void wordsOfTheProtocolAreKnown() {
        assertEquals(ReportedState.EXITED_DONE, said(Heartbeat.TaskState.EXITED, "done"));
        assertEquals(ReportedState.REFUSED_NO_SUCH, said(Heartbeat.TaskState.EXITED, "no_such"));
        assertEquals(ReportedState.EXITED_OTHER, said(Heartbeat.TaskState.EXITED, "a word of a later version"));
        assertEquals(ReportedState.EXITED_OTHER, said(Heartbeat.TaskState.EXITED, null));
        assertEquals(ReportedState.PRESENT_OTHER, said(Heartbeat.TaskState.OTHER, null));
    }

    private static ReportedState said(Heartbeat.TaskState state, String cause) {
        return ReportedState.of(new Heartbeat.TaskStatus(TaskId.parse("job-1/0"), 1, state, cause, false));
    }

    private static Heartbeat report(long shift, long counter, long baton) {
        return new Heartbeat(
                new MachineId("m"), "a", "t", "z", false, shift, counter, new FencingToken(baton), null, List.of());
    }

    @Test
    void absenceIsProvenByWhatCannotBeFollowedByALaunch() {
        AbsenceEvidence.PendingCommands none = new AbsenceEvidence.PendingCommands(false, FencingToken.NONE);
        AbsenceEvidence.Launch recovered = new AbsenceEvidence.Launch(true, new FencingToken(9), 0, 0);
        assertEquals(
                AbsenceEvidence.NONE,
                AbsenceEvidence.of(recovered, none, report(1, 5, 8)),
                "an earlier leader's launch may follow");
        assertEquals(AbsenceEvidence.NEWER_HEARTBEAT, AbsenceEvidence.of(recovered, none, report(1, 6, 9)));
        AbsenceEvidence.Launch sent = new AbsenceEvidence.Launch(true, FencingToken.NONE, 2, 10);
        assertEquals(
                AbsenceEvidence.NONE, AbsenceEvidence.of(sent, none, report(2, 10, 9)), "it is as old as the launch");
        assertEquals(AbsenceEvidence.NEWER_HEARTBEAT, AbsenceEvidence.of(sent, none, report(2, 11, 9)));
        assertEquals(
                AbsenceEvidence.NEW_EPOCH,
                AbsenceEvidence.of(
                        sent, new AbsenceEvidence.PendingCommands(true, new FencingToken(50)), report(3, 1, 0)));
        assertEquals(
                AbsenceEvidence.NONE,
                AbsenceEvidence.of(
                        sent, new AbsenceEvidence.PendingCommands(true, FencingToken.NONE), report(2, 11, 9)),
                "orders are out");
        assertEquals(
                AbsenceEvidence.NONE,
                AbsenceEvidence.of(
                        sent, new AbsenceEvidence.PendingCommands(false, new FencingToken(9)), report(2, 11, 9)),
                "one may come late");
        assertEquals(
                AbsenceEvidence.NONE,
                AbsenceEvidence.of(new AbsenceEvidence.Launch(false, FencingToken.NONE, 0, 0), none, report(1, 1, 9)),
                "not launched");
    }
}
