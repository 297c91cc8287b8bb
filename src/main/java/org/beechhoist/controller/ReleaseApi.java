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

/** Serves {@code /v1/releases}: puts, moves and removes releases; each change is committed together with its history. */
final class ReleaseApi {
    static final String PATH = "/v1/releases";
    private static final int MAX_RELEASE_COUNT = 500;
    private static final int MAX_TEXT_LENGTH = 120;

    /** Computes the next content of a release from the stored one, null if there is none. */
    private interface ReleaseUpdate {
        /** @param open tests whether a day counts as a lead day */
        Release apply(Release before, Predicate<LocalDate> open) throws MalformedMessageException;
    }

    private final ControllerContext context;
    private final Settings settings;
    private final StoreClient store;
    private final TokenBucket requests;
    private final ReleaseRegistry registry;
    private final OptimisticUpdater updater;
    private final OpenDaysReader openDays;

    ReleaseApi(
            ControllerContext context,
            Settings settings,
            StoreClient store,
            TokenBucket requests,
            TokenBucket writes,
            ReleaseRegistry registry) {
        this.context = context;
        this.settings = settings;
        this.store = store;
        this.requests = requests;
        this.registry = registry;
        this.updater = new OptimisticUpdater(context, settings, store, requests, writes);
        this.openDays = new OpenDaysReader(context, store, requests);
    }

    /**
     * Handles a request.
     *
     * @param leader null on a node that does not lead and thus has no plan
     */
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
                                requireFutureDue(
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
        if (text.isBlank() || text.length() > MAX_TEXT_LENGTH) {
            throw new MalformedMessageException(
                    field + " = " + text + ": 1 to " + MAX_TEXT_LENGTH + " characters are expected");
        }
        return text;
    }

    private long requireFutureDue(String ship, long due) throws MalformedMessageException {
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
        if (registry.find(name) == null && registry.size() >= MAX_RELEASE_COUNT) {
            throw new MalformedMessageException(
                    "name = " + name + ": at most " + MAX_RELEASE_COUNT + " releases are allowed, removed ones too");
        }
        change(
                name,
                described,
                (before, open) -> described.withPut(
                        before,
                        requireFutureDue(
                                described.ship().toString(),
                                Release.computeDueMs(described.ship(), described.zone(), described.leadDays(), open)),
                        who,
                        context.wallMs(),
                        why),
                responder);
    }

    /**
     * Commits a change of a release.
     *
     * @param described the release to put, or null if the stored one is changed
     */
    private void change(String name, Release described, ReleaseUpdate update, ApiResponder responder) {
        updater.updateAsync(
                ReleaseRegistry.RELEASES_PREFIX + name,
                (node, completion) -> {
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
                                ObjectNode next = update.apply(before, open).toNode();
                                completion.complete(next, t -> {}, next);
                            });
                },
                responder);
    }

    /**
     * Replies with all releases.
     *
     * @param orderOnly whether only the order is requested, which every node knows; only the leader knows progress and forecasts
     */
    private void list(Leader leader, boolean orderOnly, ApiResponder responder) {
        if (!registry.isLoaded()) {
            OptimisticUpdater.respondUnavailable(responder);
            return;
        }
        ObjectNode reply = Codec.map();
        if (leader != null && !orderOnly) {
            reply.set("releases", leader.releaseController().view(leader.planner()));
            responder.respond(200, reply);
            return;
        }
        ArrayNode rows = reply.putArray("releases");
        List<Release> all = registry.snapshot().all().stream()
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
                orderOnly ? 200 : 421, orderOnly ? reply : reply.put("error", "this node does not lead: no forecast"));
    }

    private void show(String name, ApiResponder responder) {
        Release release = registry.find(name);
        if (!registry.isLoaded()) {
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
