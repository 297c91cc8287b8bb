package org.beechhoist.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The state service's revisions and lease ids are integers smaller than 2^64, and count from anywhere. */
class LargeNumbersTest {
    private static final long ARRIVALS_MS = 60_000;
    private static final long DRAIN_MS = 150_000;
    /** A lease, an election and the first load, with a margin. */
    private static final long TAKEOVER_MS = 20_000;

    private static World world(long seed) {
        World w = new World(seed);
        w.every(2000, () -> {
            if (w.now < ARRIVALS_MS) {
                w.submit("fast", false, w.random.nextInt(1, 5), 1, 8, n -> {});
            }
        });
        return w;
    }

    /** Guards against numbers of the state service that are refused or compared as signed, so that nobody can lead. */
    @ParameterizedTest
    @ValueSource(
            strings = {"2147483600", "999999999960", "9007199254740950", "9223372036854775760", "18446744073709000000"})
    void workIsDoneWhereverTheStateServiceCountsFrom(String number) {
        World w = world(77);
        w.countFrom(Long.parseUnsignedLong(number));
        w.later(20_000, () -> w.crash(w.leader(), 3000));
        w.later(40_000, w::restartMachine);
        w.runUntil(ARRIVALS_MS + DRAIN_MS);
        assertTrue(w.started > 0 && w.accepted() > 20, w.accepted() + " jobs, " + w.started + " starts");
        assertEquals(List.of(), w.unfinished());
    }

    /** Guards against a leader that keeps its lease, and does nothing, as it cannot read the state service's answers. */
    @Test
    void aLeaderThatCannotReadItsAnswersGivesUpTheLead() {
        World w = world(78);
        w.runUntil(20_000);
        int unable = w.leader();
        w.makeAnswersUnreadable(unable, ARRIVALS_MS - w.now);
        w.runUntil(20_000 + TAKEOVER_MS);
        assertNotEquals(unable, w.leader());
        w.runUntil(ARRIVALS_MS + DRAIN_MS);
        assertEquals(List.of(), w.unfinished());
    }
}
