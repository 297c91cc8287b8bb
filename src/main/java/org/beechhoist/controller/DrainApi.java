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

/** Serves {@code /v1/drains} and {@code /v1/budgets}, where operators request drains and rolling replacements and declare disruption budgets. */
final class DrainApi {
    static final String DRAINS_PATH = "/v1/drains";
    static final String BUDGETS_PATH = "/v1/budgets";
    private static final int MAX_DRAINS = 40;
    private static final int MAX_TEXT_CHARS = 120;

    private final ControllerContext context;
    private final Settings settings;
    private final MachineTypeCatalog machineTypes;
    private final DrainRegistry drains;
    private final OptimisticUpdater updater;
    private final OpenDaysReader calendarDays;

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
        this.updater = new OptimisticUpdater(context, settings, store, requests, writes);
        this.calendarDays = new OpenDaysReader(context, store, requests);
    }

    static boolean handles(String path) {
        return path.equals(DRAINS_PATH)
                || path.equals(BUDGETS_PATH)
                || path.startsWith(DRAINS_PATH + "/")
                || path.startsWith(BUDGETS_PATH + "/");
    }

    /**
     * Handles a request.
     *
     * @param controller the drain controller; null on a node that does not lead
     */
    void handle(String method, String path, byte[] body, DrainController controller, ApiResponder responder) {
        boolean budgets = path.startsWith(BUDGETS_PATH);
        String base = budgets ? BUDGETS_PATH : DRAINS_PATH;
        String rest = path.length() > base.length() ? path.substring(base.length() + 1) : "";
        int slash = rest.lastIndexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        String action = slash < 0 ? "" : rest.substring(slash + 1);
        try {
            JsonNode node = method.equals("POST") ? Codec.decodeMap(body) : null;
            if (!drains.isLoaded()) {
                OptimisticUpdater.respondUnavailable(responder);
            } else if (node == null && action.isEmpty()) {
                respondView(budgets, name, controller, responder);
            } else if (node == null) {
                responder.respond(404, OptimisticUpdater.errorBody("no such path"));
            } else if (budgets) {
                updateBudget(name, action, node, responder);
            } else {
                updateDrain(name, action, node, controller, responder);
            }
        } catch (MalformedMessageException e) {
            responder.respond(400, OptimisticUpdater.errorBody(e.getMessage()));
        }
    }

    private static String requiredText(JsonNode node, String field) throws MalformedMessageException {
        String text = Codec.text(node, field);
        if (text.isBlank() || text.length() > MAX_TEXT_CHARS) {
            throw new MalformedMessageException(
                    field + " = " + text + ": 1 to " + MAX_TEXT_CHARS + " characters are expected");
        }
        return text;
    }

    private void respondView(boolean budgets, String name, DrainController controller, ApiResponder responder) {
        if (!budgets && !name.isEmpty() && drains.findDrain(name) == null) {
            responder.respond(404, OptimisticUpdater.errorBody("name = " + name + ": the name of a drain is expected"));
        } else if (controller == null) {
            responder.respond(
                    421, OptimisticUpdater.errorBody("this node does not lead: how far it has come is not known here"));
        } else if (budgets) {
            responder.respond(200, controller.budgetsView());
        } else {
            responder.respond(200, name.isEmpty() ? controller.view() : controller.view(drains.findDrain(name)));
        }
    }

    // ---- drains ----

    private void updateDrain(
            String name, String action, JsonNode node, DrainController controller, ApiResponder responder)
            throws MalformedMessageException {
        if (action.equals("plan")) {
            Drain requested = parseDrain(name, node);
            responder.respond(
                    controller == null ? 421 : 200,
                    controller == null
                            ? OptimisticUpdater.errorBody("this node does not lead: it knows no plan")
                            : controller.forecastView(requested));
            return;
        }
        String who = requiredText(node, "who");
        String why = requiredText(node, "why");
        switch (action) {
            case "put" -> putDrain(name, node, who, why, responder);
            case "pause" -> changeState(name, Drain.State.PAUSED, "paused", who, why, responder);
            case "resume" -> changeState(name, Drain.State.RUNNING, "resumed", who, why, responder);
            case "abort" -> changeState(name, Drain.State.ABORTED, "aborted", who, why, responder);
            case "remove" ->
                updater.update(
                        DrainRegistry.DRAINS_PREFIX + name,
                        before -> {
                            if (before == null) {
                                throw new OptimisticUpdater.RejectedException(
                                        404, "name = " + name + ": the name of a drain is expected");
                            }
                            if (Drain.parse(before).state() != Drain.State.ABORTED
                                    && (controller == null || !controller.isEnded(name))) {
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

    private void changeState(String name, Drain.State to, String what, String who, String why, ApiResponder responder) {
        updater.update(
                DrainRegistry.DRAINS_PREFIX + name,
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

    private Drain parseDrain(String name, JsonNode node) throws MalformedMessageException {
        Drain drain = Drain.fromRequest(name, node, context.wallMs());
        if (drain.selector().zone() != null
                && !settings.zones().contains(drain.selector().zone())) {
            throw new MalformedMessageException("zone = " + drain.selector().zone() + ": one of "
                    + new TreeSet<>(settings.zones()) + " is expected");
        }
        checkMachineType("type", drain.selector().type());
        checkMachineType("with", drain.with());
        return drain;
    }

    private void checkMachineType(String field, String name) throws MalformedMessageException {
        if (name != null && machineTypes.isLoaded() && machineTypes.get(name) == null) {
            throw new MalformedMessageException(field + " = " + name + ": one of "
                    + new TreeSet<>(
                            machineTypes.all().stream().map(MachineType::name).toList()) + " is expected");
        }
    }

    private void putDrain(String name, JsonNode node, String who, String why, ApiResponder responder)
            throws MalformedMessageException {
        Drain requested = parseDrain(name, node);
        if (drains.findDrain(name) == null && drains.drains().size() >= MAX_DRAINS) {
            throw new MalformedMessageException(
                    "name = " + name + ": at most " + MAX_DRAINS + " drains are allowed; remove some that are over");
        }
        calendarDays.readOpenDays(
                requested.pauses().calendar(),
                responder,
                isOpenDay -> storeDrain(
                        name,
                        requested.pauses().calendar() == null
                                ? requested
                                : requested.withPauses(
                                        requested.pauses().withClosedDays(d -> !isOpenDay.test(d), context.wallMs())),
                        who,
                        why,
                        responder));
    }

    private void storeDrain(String name, Drain requested, String who, String why, ApiResponder responder) {
        updater.update(
                DrainRegistry.DRAINS_PREFIX + name,
                before -> requested
                        .asNextVersionOf(before == null ? null : Drain.parse(before), who, context.wallMs(), why)
                        .toNode(),
                responder);
    }

    // ---- budgets ----

    private void updateBudget(String key, String action, JsonNode node, ApiResponder responder)
            throws MalformedMessageException {
        String who = requiredText(node, "who");
        String why = requiredText(node, "why");
        if (action.equals("remove")) {
            updater.update(
                    DrainRegistry.BUDGETS_PREFIX + key,
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
        if (!action.equals("put")) {
            responder.respond(404, OptimisticUpdater.errorBody("no such path"));
            return;
        }
        DisruptionBudget requested = DisruptionBudget.fromRequest(node, who, context.wallMs(), why, 1);
        Set<String> teams = new TreeSet<>(settings.teams().keySet());
        if (!requested.team().equals(DisruptionBudget.DEFAULT) && !teams.contains(requested.team())) {
            throw new MalformedMessageException("team = " + requested.team() + ": " + DisruptionBudget.DEFAULT
                    + ", or one of " + teams + ", is expected");
        }
        if (!requested.key().equals(key)) {
            throw new MalformedMessageException("name = " + key + ": " + requested.key() + " is expected");
        }
        updater.update(
                DrainRegistry.BUDGETS_PREFIX + key,
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
