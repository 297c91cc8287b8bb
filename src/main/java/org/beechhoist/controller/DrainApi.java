package org.beechhoist.controller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Set;
import java.util.TreeSet;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ApiResponder;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.controller.state.OptimisticUpdater;
import org.beechhoist.drain.DisruptionBudget;
import org.beechhoist.drain.Drain;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MachineType;
import org.beechhoist.wire.MalformedMessageException;

/** {@code /v1/drains} and {@code /v1/budgets}: operators have machines emptied or replaced, and say how much may be disturbed for it. */
final class DrainApi {
    static final String DRAINS = "/v1/drains";
    static final String BUDGETS = "/v1/budgets";
    private static final int MOST_DRAINS = 40;
    private static final int MOST_TEXT = 120;

    private final ControllerContext context;
    private final Settings settings;
    private final MachineTypeCatalog machineTypes;
    private final DrainRegistry drains;
    private final OptimisticUpdater amending;
    private final CalendarDays openDays;

    DrainApi(
            ControllerContext context,
            Settings settings,
            StoreClient store,
            TokenBucket requests,
            TokenBucket writes,
            MachineTypeCatalog machineTypes,
            DrainRegistry drains) {
        this.machineTypes = machineTypes;
        this.context = context;
        this.settings = settings;
        this.drains = drains;
        this.amending = new OptimisticUpdater(context, settings, store, requests, writes);
        this.openDays = new CalendarDays(context, store, requests);
    }

    static boolean mine(String path) {
        return path.equals(DRAINS)
                || path.equals(BUDGETS)
                || path.startsWith(DRAINS + "/")
                || path.startsWith(BUDGETS + "/");
    }

    /** @param desk null on a node that does not lead: it knows no plan */
    void request(String method, String path, byte[] body, DrainController desk, ApiResponder responder) {
        boolean budgets = path.startsWith(BUDGETS);
        String base = budgets ? BUDGETS : DRAINS;
        String rest = path.length() > base.length() ? path.substring(base.length() + 1) : "";
        int slash = rest.lastIndexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        String verb = slash < 0 ? "" : rest.substring(slash + 1);
        try {
            JsonNode node = method.equals("POST") ? Codec.decodeMap(body) : null;
            if (!drains.read()) {
                OptimisticUpdater.respondUnavailable(responder);
            } else if (node == null && verb.isEmpty()) {
                show(budgets, name, desk, responder);
            } else if (node == null) {
                responder.respond(404, OptimisticUpdater.errorBody("no such path"));
            } else if (budgets) {
                budget(name, verb, node, responder);
            } else {
                drain(name, verb, node, desk, responder);
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

    private void show(boolean budgets, String name, DrainController desk, ApiResponder responder) {
        if (!budgets && !name.isEmpty() && drains.known(name) == null) {
            responder.respond(404, OptimisticUpdater.errorBody("name = " + name + ": the name of a drain is expected"));
        } else if (desk == null) {
            responder.respond(
                    421, OptimisticUpdater.errorBody("this node does not lead: how far it has come is not known here"));
        } else if (budgets) {
            responder.respond(200, desk.budgets());
        } else {
            responder.respond(200, name.isEmpty() ? desk.view() : desk.view(drains.known(name)));
        }
    }

    // ---- drains ----

    private void drain(String name, String verb, JsonNode node, DrainController desk, ApiResponder responder)
            throws MalformedMessageException {
        if (verb.equals("plan")) {
            Drain described = described(name, node);
            responder.respond(
                    desk == null ? 421 : 200,
                    desk == null
                            ? OptimisticUpdater.errorBody("this node does not lead: it knows no plan")
                            : desk.foresee(described));
            return;
        }
        String who = text(node, "who");
        String why = text(node, "why");
        switch (verb) {
            case "put" -> put(name, node, who, why, responder);
            case "pause" -> change(name, Drain.State.PAUSED, "paused", who, why, responder);
            case "resume" -> change(name, Drain.State.RUNNING, "resumed", who, why, responder);
            case "abort" -> change(name, Drain.State.ABORTED, "aborted", who, why, responder);
            case "remove" ->
                amending.update(
                        DrainRegistry.DRAINS + name,
                        before -> {
                            if (before == null) {
                                throw new OptimisticUpdater.RejectedException(
                                        404, "name = " + name + ": the name of a drain is expected");
                            }
                            if (Drain.parse(before).state() != Drain.State.ABORTED
                                    && (desk == null || !desk.over(name))) {
                                throw new OptimisticUpdater.RejectedException(
                                        409,
                                        "name = " + name
                                                + ": a drain that is over, or aborted, is expected; the leading node knows");
                            }
                            return null;
                        },
                        responder);
            default -> responder.respond(404, OptimisticUpdater.errorBody("no such path"));
        }
    }

    private void change(String name, Drain.State to, String what, String who, String why, ApiResponder responder) {
        amending.update(
                DrainRegistry.DRAINS + name,
                before -> {
                    if (before == null) {
                        throw new OptimisticUpdater.RejectedException(
                                404, "name = " + name + ": the name of a drain is expected");
                    }
                    Drain drain = Drain.parse(before);
                    if (drain.state() == Drain.State.ABORTED) {
                        throw new OptimisticUpdater.RejectedException(
                                409, "name = " + name + ": it was aborted; put it again");
                    }
                    return drain.withState(to, what, who, context.wallMs(), why).toNode();
                },
                responder);
    }

    private Drain described(String name, JsonNode node) throws MalformedMessageException {
        Drain drain = Drain.fromRequest(name, node, context.wallMs());
        if (drain.which().zone() != null
                && !settings.zones().contains(drain.which().zone())) {
            throw new MalformedMessageException(
                    "zone = " + drain.which().zone() + ": one of " + new TreeSet<>(settings.zones()) + " is expected");
        }
        type("type", drain.which().type());
        type("with", drain.with());
        return drain;
    }

    private void type(String field, String name) throws MalformedMessageException {
        if (name != null && machineTypes.isLoaded() && machineTypes.get(name) == null) {
            throw new MalformedMessageException(field + " = " + name + ": one of "
                    + new TreeSet<>(
                            machineTypes.all().stream().map(MachineType::name).toList()) + " is expected");
        }
    }

    private void put(String name, JsonNode node, String who, String why, ApiResponder responder)
            throws MalformedMessageException {
        Drain described = described(name, node);
        if (drains.known(name) == null && drains.drains().size() >= MOST_DRAINS) {
            throw new MalformedMessageException(
                    "name = " + name + ": at most " + MOST_DRAINS + " drains are allowed; remove some that are over");
        }
        openDays.of(
                described.pauses().calendar(),
                responder,
                open -> commit(
                        name,
                        described.pauses().calendar() == null
                                ? described
                                : described.withPauses(
                                        described.pauses().withClosedDays(d -> !open.test(d), context.wallMs())),
                        who,
                        why,
                        responder));
    }

    private void commit(String name, Drain described, String who, String why, ApiResponder responder) {
        amending.update(
                DrainRegistry.DRAINS + name,
                before -> described
                        .asChangeOf(before == null ? null : Drain.parse(before), who, context.wallMs(), why)
                        .toNode(),
                responder);
    }

    // ---- budgets ----

    private void budget(String key, String verb, JsonNode node, ApiResponder responder)
            throws MalformedMessageException {
        String who = text(node, "who");
        String why = text(node, "why");
        if (verb.equals("remove")) {
            amending.update(
                    DrainRegistry.BUDGETS + key,
                    before -> {
                        if (before == null) {
                            throw new OptimisticUpdater.RejectedException(
                                    404, "name = " + key + ": the team, or team~class, of a budget is expected");
                        }
                        return null;
                    },
                    responder);
            return;
        }
        if (!verb.equals("put")) {
            responder.respond(404, OptimisticUpdater.errorBody("no such path"));
            return;
        }
        DisruptionBudget described = DisruptionBudget.fromRequest(node, who, context.wallMs(), why, 1);
        Set<String> teams = new TreeSet<>(settings.teams().keySet());
        if (!described.team().equals(DisruptionBudget.DEFAULT) && !teams.contains(described.team())) {
            throw new MalformedMessageException("team = " + described.team() + ": " + DisruptionBudget.DEFAULT
                    + ", or one of " + teams + ", is expected");
        }
        if (!described.key().equals(key)) {
            throw new MalformedMessageException("name = " + key + ": " + described.key() + " is expected");
        }
        amending.update(
                DrainRegistry.BUDGETS + key,
                before -> DisruptionBudget.fromRequest(
                                node,
                                who,
                                context.wallMs(),
                                why,
                                before == null
                                        ? 1
                                        : DisruptionBudget.parse(before).number() + 1)
                        .toNode(),
                responder);
    }
}
