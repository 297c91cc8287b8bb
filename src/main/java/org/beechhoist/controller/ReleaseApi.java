package org.beechhoist.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.LocalDate;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ApiResponder;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.OptimisticUpdater;
import org.beechhoist.release.Release;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;

/** {@code /v1/releases}: people put, move and remove what makers were promised; every change is a commit with its history. */
final class ReleaseApi {
    static final String PATH = "/v1/releases";
    private static final int MOST_RELEASES = 500;
    private static final int MOST_TEXT = 120;

    private interface Edit {
        /** @param open whether a day counts for the lead */
        Release of(Release before, Predicate<LocalDate> open) throws MalformedMessageException;
    }

    private final ControllerContext context;
    private final Settings settings;
    private final StoreClient store;
    private final TokenBucket requests;
    private final ReleaseRegistry releases;
    private final OptimisticUpdater amending;
    private final OpenDaysReader openDays;

    ReleaseApi(
            ControllerContext context,
            Settings settings,
            StoreClient store,
            TokenBucket requests,
            TokenBucket writes,
            ReleaseRegistry releases) {
        this.context = context;
        this.settings = settings;
        this.store = store;
        this.requests = requests;
        this.releases = releases;
        this.amending = new OptimisticUpdater(context, settings, store, requests, writes);
        this.openDays = new OpenDaysReader(context, store, requests);
    }

    /** @param leader null on a node that does not lead: it knows no plan */
    void handle(String method, String path, byte[] body, Leader leader, ApiResponder responder) {
        boolean post = method.equals("POST");
        String rest = path.length() > PATH.length() ? path.substring(PATH.length() + 1) : "";
        int slash = rest.lastIndexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        String verb = slash < 0 ? "" : rest.substring(slash + 1);
        try {
            JsonNode node = post ? Codec.decodeMap(body) : null;
            if (rest.isEmpty() && !post) {
                list(leader, path.endsWith("/"), responder);
            } else if (slash < 0 && !post) {
                show(name, responder);
            } else if (verb.equals("put") && post) {
                put(name, node, responder);
            } else if (verb.equals("move") && post) {
                String who = text(node, "who");
                String why = text(node, "why");
                var ship = Release.parseDateTime("ship", Codec.text(node, "ship"));
                change(
                        name,
                        null,
                        (before, open) -> before.withShipDate(
                                ship,
                                inTime(
                                        ship.toString(),
                                        Release.computeDueMs(ship, before.zone(), before.leadDays(), open)),
                                who,
                                context.wallMs(),
                                why),
                        responder);
            } else if (verb.equals("remove") && post) {
                String who = text(node, "who");
                String why = text(node, "why");
                change(name, null, (before, open) -> before.withRemoval(who, context.wallMs(), why), responder);
            } else {
                responder.respond(404, OptimisticUpdater.errorBody("no such path"));
            }
        } catch (MalformedMessageException e) {
            responder.respond(400, OptimisticUpdater.errorBody(e.getMessage()));
        }
    }

    private static String text(JsonNode node, String field) throws MalformedMessageException {
        String text = Codec.text(node, field);
        if (text.isBlank() || text.length() > MOST_TEXT) {
            throw new MalformedMessageException(
                    field + " = " + text + ": 1 to " + MOST_TEXT + " characters are expected");
        }
        return text;
    }

    private long inTime(String ship, long due) throws MalformedMessageException {
        if (due <= context.wallMs()) {
            throw new MalformedMessageException(
                    "ship = " + ship + ": a date whose factory moment, less the lead, is yet to come is expected");
        }
        return due;
    }

    private void put(String name, JsonNode node, ApiResponder responder) throws MalformedMessageException {
        String who = text(node, "who");
        String why = text(node, "why");
        Release described = Release.parseDescription(name, node);
        if (described.team() != null && !settings.teams().containsKey(described.team())) {
            throw new MalformedMessageException("team = " + described.team() + ": one of "
                    + new TreeSet<>(settings.teams().keySet()) + " is expected");
        }
        if (releases.find(name) == null && releases.size() >= MOST_RELEASES) {
            throw new MalformedMessageException(
                    "name = " + name + ": at most " + MOST_RELEASES + " releases are allowed, removed ones too");
        }
        change(
                name,
                described,
                (before, open) -> described.withPut(
                        before,
                        inTime(
                                described.ship().toString(),
                                Release.computeDueMs(described.ship(), described.zone(), described.leadDays(), open)),
                        who,
                        context.wallMs(),
                        why),
                responder);
    }

    /** @param described what is put, or null: what stands is changed */
    private void change(String name, Release described, Edit edit, ApiResponder responder) {
        amending.updateAsync(
                ReleaseRegistry.RELEASES_PREFIX + name,
                (node, then) -> {
                    Release before;
                    try {
                        before = node == null ? null : Release.parse(node);
                    } catch (MalformedMessageException e) {
                        throw new OptimisticUpdater.RejectedException(
                                409, "the record can't be read: " + e.getMessage());
                    }
                    if (described == null && (before == null || before.removed())) {
                        throw new OptimisticUpdater.RejectedException(
                                404, "name = " + name + ": the name of a release that stands is expected");
                    }
                    openDays.readOpenDays(
                            described != null ? described.calendar() : before.calendar(), responder, open -> {
                                ObjectNode next = edit.of(before, open).toNode();
                                then.complete(next, t -> {}, next);
                            });
                },
                responder);
    }

    /** @param orderAlone which every node knows; what is done, and when it will be over, is known to the leading one alone */
    private void list(Leader leader, boolean orderAlone, ApiResponder responder) {
        if (!releases.isLoaded()) {
            OptimisticUpdater.respondUnavailable(responder);
            return;
        }
        ObjectNode out = Codec.map();
        if (leader != null && !orderAlone) {
            out.set("releases", leader.releaseController().view(leader.planner()));
            responder.respond(200, out);
            return;
        }
        ArrayNode rows = out.putArray("releases");
        List<Release> all = releases.snapshot().all().stream()
                .sorted(Comparator.comparingLong(Release::dueMs).thenComparing(Release::name))
                .toList();
        all.forEach(release -> rows.addObject()
                .put("name", release.name())
                .put("maker", release.maker())
                .put("ship", release.ship().toString())
                .put("zone", release.zone().getId())
                .put("due", release.dueMs())
                .put("dueInS", (release.dueMs() - context.wallMs()) / 1000.0));
        responder.respond(
                orderAlone ? 200 : 421, orderAlone ? out : out.put("error", "this node does not lead: no forecast"));
    }

    private void show(String name, ApiResponder responder) {
        Release release = releases.find(name);
        if (!releases.isLoaded()) {
            OptimisticUpdater.respondUnavailable(responder);
        } else if (release == null) {
            responder.respond(404, OptimisticUpdater.errorBody("no such release"));
        } else {
            requests.takeOrOverdraw(context.now(), 1);
            store.get(ReleaseController.REORDERED_PREFIX + name, read -> {
                ObjectNode node = release.toNode();
                if (read.item() != null) {
                    node.set("reordered", read.item().value());
                }
                responder.respond(200, node);
            });
        }
    }
}
