package org.beechhoist.sim;

import static org.beechhoist.sim.MeetingDay.FIRST_MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Transactions that get no answer, carried out at once or after newer ones, whatever they were for. */
class UnknownOutcomeTest {
    /** A leader whose rewriting of its key was made, and only the answer lost, still leads: it doesn't take its own for another's. */
    @Test
    void aLeaderKnowsItsOwnRewriting() {
        World w = MeetingDay.world(1090);
        MeetingDay.arrivals(w, 100_000);
        w.runUntil(30_000);
        int before = w.meetings.reigns;
        w.meetings.lateWrites(0.5, true, 60_000);
        w.runUntil(90_000);
        assertTrue(w.meetings.lateOrLost > 20, w.meetings.lateOrLost + " transactions without an answer");
        assertEquals(before, w.meetings.reigns, "leaderships");
        MeetingDay.seenThrough(w, 300_000, "");
    }

    /** Everything is submitted, placed, cancelled and ended on top of it, and the lead changes. */
    @ParameterizedTest
    @CsvSource({"0.1, true, 0", "0.1, false, 1", "0.5, true, 1", "0.3, false, 2"})
    void whateverIsWritten(double share, boolean atOnce, int crashes) {
        World w = MeetingDay.world(1000 + Math.round(100 * share) + crashes);
        MeetingDay.arrivals(w, 150_000);
        MeetingDay.tiny(w, 0.5, 0.3, 0, 150_000);
        w.later(FIRST_MS, () -> w.meetings.lateWrites(share, atOnce, 70_000));
        w.later(FIRST_MS, () -> w.meetings.closeLooks(70_000));
        w.later(FIRST_MS + 5000, () -> w.meetings.cancelNow(4, 6000));
        for (int i = 1; i <= crashes; i++) {
            w.later(FIRST_MS + i * 20_000L, () -> w.crash(w.leader(), 300));
        }
        w.runUntil(FIRST_MS + 70_000);
        assertTrue(w.meetings.lateOrLost > 10, w.meetings.lateOrLost + " transactions without an answer");
        MeetingDay.seenThrough(w, 400_000, "share " + share);
        MeetingDay.cancelledSome(w, 10, "share " + share);
    }
}
