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

/** Reads from the installed version of a calendar which days are open. */
final class OpenDaysReader {
    /** Receives the open days. */
    interface OpenDaysAction {
        void run(Predicate<LocalDate> isOpen) throws MalformedMessageException;
    }

    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;

    OpenDaysReader(ControllerContext context, StoreClient store, TokenBucket requests) {
        this.context = context;
        this.store = store;
        this.requests = requests;
    }

    /**
     * Passes the open days of a calendar to {@code action}; all days if {@code name} is null. Responds with an error itself if
     * the read fails.
     */
    void readOpenDays(String name, ApiResponder responder, OpenDaysAction action) {
        if (name == null) {
            runAction(date -> true, responder, action);
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
                Calendar calendar = Calendar.parse(read.item().value(), name);
                runAction(date -> calendar.closedReason(date) == null, responder, action);
            } catch (MalformedMessageException e) {
                responder.respond(400, OptimisticUpdater.errorBody(e.getMessage()));
            }
        });
    }

    private static void runAction(Predicate<LocalDate> isOpen, ApiResponder responder, OpenDaysAction action) {
        try {
            action.run(isOpen);
        } catch (MalformedMessageException e) {
            responder.respond(400, OptimisticUpdater.errorBody(e.getMessage()));
        }
    }
}
