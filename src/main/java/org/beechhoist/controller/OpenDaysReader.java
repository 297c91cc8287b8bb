package org.beechhoist.controller;

import java.time.LocalDate;
import java.util.function.Predicate;
import org.beechhoist.controller.context.ApiResponder;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.OptimisticUpdater;
import org.beechhoist.cron.Calendar;
import org.beechhoist.cron.ScheduleKeys;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.wire.MalformedMessageException;

/** Which days a named calendar has open, as it is installed now. */
final class OpenDaysReader {
    /** What is done with it. */
    interface OpenDaysAction {
        void run(Predicate<LocalDate> open) throws MalformedMessageException;
    }

    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;

    OpenDaysReader(ControllerContext context, StoreClient store, TokenBucket requests) {
        this.context = context;
        this.store = store;
        this.requests = requests;
    }

    /** All days are open where no calendar is named; what can't be told is answered. */
    void readOpenDays(String name, ApiResponder responder, OpenDaysAction use) {
        if (name == null) {
            runAction(d -> true, responder, use);
            return;
        }
        requests.takeOrOverdraw(context.now(), 1);
        store.get(ScheduleKeys.CALENDARS_PREFIX + name, read -> {
            if (!read.answered()) {
                OptimisticUpdater.respondUnavailable(responder);
                return;
            }
            try {
                if (read.item() == null) {
                    throw new MalformedMessageException("calendar = " + name + ": an installed calendar is expected");
                }
                Calendar c = Calendar.parse(read.item().value(), name);
                runAction(d -> c.closedReason(d) == null, responder, use);
            } catch (MalformedMessageException e) {
                responder.respond(400, OptimisticUpdater.errorBody(e.getMessage()));
            }
        });
    }

    private static void runAction(Predicate<LocalDate> open, ApiResponder responder, OpenDaysAction use) {
        try {
            use.run(open);
        } catch (MalformedMessageException e) {
            responder.respond(400, OptimisticUpdater.errorBody(e.getMessage()));
        }
    }
}
