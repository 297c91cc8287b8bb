package org.beechhoist.controller;

import org.beechhoist.controller.context.ApiResponder;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;

/** Handles the routes {@code /v1/cron}, {@code /v1/cron/TABLE[/remove]} and {@code /v1/calendars/NAME}. */
final class CronRequests implements FeatureApi {
    private static final String TABLES = "/v1/cron";
    private static final String CALENDARS = "/v1/calendars";
    private static final String REMOVE = "/remove";
    private static final String AFTER = "after=";
    private static final String AFTER_PATTERN = "after=[0-9]{1,8}";
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;

    private final CronApi api;

    CronRequests(CronApi api) {
        this.api = api;
    }

    @Override
    public boolean handles(String path) {
        return path.startsWith(TABLES) || path.startsWith(CALENDARS);
    }

    @Override
    public void handle(ApiRequest request, ApiResponder responder) {
        String path = request.path();
        try {
            if (path.startsWith(CALENDARS + "/")) {
                handleCalendar(request, responder);
            } else if (path.equals(TABLES) && !isPost(request)) {
                api.listInstalled(responder);
            } else if (path.startsWith(TABLES + "/")) {
                handleTable(request, responder);
            } else {
                responder.respond(NOT_FOUND, Codec.map().put("error", "no such path"));
            }
        } catch (MalformedMessageException e) {
            responder.respond(BAD_REQUEST, Codec.map().put("error", e.getMessage()));
        }
    }

    private void handleCalendar(ApiRequest request, ApiResponder responder) throws MalformedMessageException {
        String name = request.path().substring(CALENDARS.length() + 1);
        if (isPost(request)) {
            api.installCalendar(name, Codec.decodeMap(request.body()), responder);
        } else {
            api.showCalendar(name, responder);
        }
    }

    private void handleTable(ApiRequest request, ApiResponder responder) throws MalformedMessageException {
        String name = request.path().substring(TABLES.length() + 1);
        if (!isPost(request)) {
            api.showTable(name, afterLine(request.query()), responder);
        } else if (name.endsWith(REMOVE)) {
            api.removeTable(name.substring(0, name.length() - REMOVE.length()), responder);
        } else {
            api.installTable(name, Codec.decodeMap(request.body()), responder);
        }
    }

    private static int afterLine(String query) {
        return query.matches(AFTER_PATTERN) ? Integer.parseInt(query.substring(AFTER.length())) : 0;
    }

    private static boolean isPost(ApiRequest request) {
        return request.method().equals("POST");
    }
}
