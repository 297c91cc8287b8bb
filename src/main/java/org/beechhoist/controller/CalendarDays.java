package org.beechhoist.core;

import java.time.LocalDate;
import java.util.function.Predicate;
import org.beechhoist.cron.Calendar;
import org.beechhoist.cron.ScheduleKeys;
import org.beechhoist.store.Budget;
import org.beechhoist.store.StoreClient;
import org.beechhoist.wire.Malformed;

/** Which days a named calendar has open, as it is installed now. */
final class OpenDays {
    /** What is done with it. */
    interface Use {
        void with(Predicate<LocalDate> open) throws Malformed;
    }

    private final Turn turn;
    private final StoreClient store;
    private final Budget requests;

    OpenDays(Turn turn, StoreClient store, Budget requests) {
        this.turn = turn;
        this.store = store;
        this.requests = requests;
    }

    /** All days are open where no calendar is named; what can't be told is answered. */
    void of(String name, CronApi.Answer answer, Use use) {
        if (name == null) {
            use(d -> true, answer, use);
            return;
        }
        requests.take(turn.now(), 1);
        store.get(ScheduleKeys.CALENDARS + name, read -> {
            if (!read.known()) {
                Amending.unknown(answer);
                return;
            }
            try {
                if (read.item() == null) {
                    throw new Malformed("calendar = " + name + ": an installed calendar is expected");
                }
                Calendar c = Calendar.parse(read.item().value(), name);
                use(d -> c.closed(d) == null, answer, use);
            } catch (Malformed e) {
                answer.with(400, Amending.error(e.getMessage()));
            }
        });
    }

    private static void use(Predicate<LocalDate> open, CronApi.Answer answer, Use use) {
        try {
            use.with(open);
        } catch (Malformed e) {
            answer.with(400, Amending.error(e.getMessage()));
        }
    }
}
