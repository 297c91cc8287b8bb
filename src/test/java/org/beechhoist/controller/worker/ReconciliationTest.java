package org.beechhoist.start;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.beechhoist.start.Squaring.Decision;
import org.beechhoist.start.Squaring.Said;
import org.beechhoist.start.Squaring.Stored;
import org.beechhoist.wire.Baton;
import org.beechhoist.wire.HostId;
import org.beechhoist.wire.HostReport;
import org.beechhoist.wire.TaskId;
import org.junit.jupiter.api.Test;

/** The table of docs/design/start.md, all of it: every pair of what is stored and what a machine says. */
class SquaringTest {
    private static final Set<Stored> OURS = EnumSet.of(Stored.PLACED, Stored.CANCELLED);

    /** What the design note's rows say, written once more and otherwise: by decision, not by pair. */
    private static Decision expected(Stored stored, Said said, Evidence evidence, boolean mayForget) {
        if (stored == Stored.UNREADABLE) {
            return Decision.LEAVE_ALONE;
        }
        if (!OURS.contains(stored)) {
            return said.there()
                    ? Decision.KILL
                    : !said.ended() ? Decision.KEEP : mayForget ? Decision.FORGET : Decision.HOLD;
        }
        return switch (said) {
            case NOTHING_YET -> Decision.WAIT;
            case ABSENT -> evidence == Evidence.NONE ? Decision.WAIT : Decision.GONE;
            case FETCHING, RUNNING, SAVING, OTHERWISE_THERE ->
                stored == Stored.CANCELLED ? Decision.KILL : Decision.KEEP;
            case EXITED_DONE -> Decision.COUNT_DONE;
            case EXITED_ERROR -> Decision.COUNT_FAILED;
            case REFUSED_FULL, REFUSED_BUSY -> Decision.AVOID_MACHINE;
            case REFUSED_NO_SUCH -> Decision.ASK_LATER;
            case EXITED_STOPPED, EXITED_OTHERWISE -> Decision.PLACE_ANEW;
        };
    }

    @Test
    void everyPairHasARow() {
        int pairs = 0;
        for (Stored stored : Stored.values()) {
            for (Said said : Said.values()) {
                for (Evidence evidence : Evidence.values()) {
                    for (boolean mayForget : new boolean[] {false, true}) {
                        Decision d = Squaring.of(stored, said, evidence, mayForget);
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
        for (Stored stored : Stored.values()) {
            for (Said said : Said.values()) {
                Decision d = Squaring.of(stored, said, Evidence.NONE, true);
                boolean takenOff = d == Decision.GONE
                        || d == Decision.PLACE_ANEW
                        || d == Decision.COUNT_DONE
                        || d == Decision.COUNT_FAILED
                        || d == Decision.AVOID_MACHINE
                        || d == Decision.ASK_LATER;
                assertTrue(!takenOff || said.ended(), stored + ", " + said + ": " + d);
                assertTrue(d != Decision.KILL || said.there(), stored + ", " + said + ": " + d);
                assertTrue(d != Decision.FORGET || said.ended(), stored + ", " + said + ": " + d);
            }
        }
    }

    @Test
    void wordsOfTheProtocolAreKnown() {
        assertEquals(Said.EXITED_DONE, said(HostReport.State.EXITED, "done"));
        assertEquals(Said.REFUSED_NO_SUCH, said(HostReport.State.EXITED, "no_such"));
        assertEquals(Said.EXITED_OTHERWISE, said(HostReport.State.EXITED, "a word of a later version"));
        assertEquals(Said.EXITED_OTHERWISE, said(HostReport.State.EXITED, null));
        assertEquals(Said.OTHERWISE_THERE, said(HostReport.State.OTHER, null));
    }

    private static Said said(HostReport.State state, String cause) {
        return Said.of(new HostReport.Entry(TaskId.parse("job-1/0"), 1, state, cause, false));
    }

    private static HostReport report(long shift, long counter, long baton) {
        return new HostReport(new HostId("m"), "a", "t", "z", false, shift, counter, new Baton(baton), null, List.of());
    }

    @Test
    void absenceIsProvenByWhatCannotBeFollowedByALaunch() {
        Evidence.InFlight none = new Evidence.InFlight(false, Baton.NONE);
        Evidence.Launch recovered = new Evidence.Launch(true, new Baton(9), 0, 0);
        assertEquals(
                Evidence.NONE,
                Evidence.ofAbsence(recovered, none, report(1, 5, 8)),
                "an earlier leader's launch may follow");
        assertEquals(Evidence.NEWER_REPORT, Evidence.ofAbsence(recovered, none, report(1, 6, 9)));
        Evidence.Launch sent = new Evidence.Launch(true, Baton.NONE, 2, 10);
        assertEquals(Evidence.NONE, Evidence.ofAbsence(sent, none, report(2, 10, 9)), "it is as old as the launch");
        assertEquals(Evidence.NEWER_REPORT, Evidence.ofAbsence(sent, none, report(2, 11, 9)));
        assertEquals(
                Evidence.NEW_SESSION,
                Evidence.ofAbsence(sent, new Evidence.InFlight(true, new Baton(50)), report(3, 1, 0)));
        assertEquals(
                Evidence.NONE,
                Evidence.ofAbsence(sent, new Evidence.InFlight(true, Baton.NONE), report(2, 11, 9)),
                "orders are out");
        assertEquals(
                Evidence.NONE,
                Evidence.ofAbsence(sent, new Evidence.InFlight(false, new Baton(9)), report(2, 11, 9)),
                "one may come late");
        assertEquals(
                Evidence.NONE,
                Evidence.ofAbsence(new Evidence.Launch(false, Baton.NONE, 0, 0), none, report(1, 1, 9)),
                "not launched");
    }
}
