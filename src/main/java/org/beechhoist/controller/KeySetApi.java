package org.beechhoist.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ApiResponder;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.ClusterState;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.OptimisticUpdater;
import org.beechhoist.keyset.KeySet;
import org.beechhoist.keyset.KeySets;
import org.beechhoist.store.Placement;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.StoreClient.CommitResult;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.store.Transaction;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.KeySetBinding;
import org.beechhoist.wire.MalformedMessageException;

/**
 * {@code /v1/keysets}: people propose, approve and revoke versions of key sets, and say which jobs need one. Each change is
 * committed before it is answered, guarded by what it was decided by, with the set's number beside it.
 */
final class KeySetApi {
    static final String PATH = "/v1/keysets";
    private static final int MOST_SETS = 1000;
    private static final int MOST_REQUIRED = 100;
    private static final int MOST_JOBS = 200;
    private static final long USUAL_DRAIN_S = 24 * 3600;
    private static final long LONGEST_DRAIN_S = 366 * 24 * 3600L;

    /** Makes the next content of a set from what is stored, null: nothing. */
    private interface Edit {
        KeySet of(KeySet before) throws MalformedMessageException;
    }

    private final ControllerContext context;
    private final Settings settings;
    private final StoreClient store;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final KeySetRegistry keys;
    private final OptimisticUpdater amending;

    KeySetApi(
            ControllerContext context,
            Settings settings,
            StoreClient store,
            TokenBucket requests,
            TokenBucket writes,
            KeySetRegistry keys) {
        this.context = context;
        this.settings = settings;
        this.store = store;
        this.requests = requests;
        this.writes = writes;
        this.keys = keys;
        this.amending = new OptimisticUpdater(context, settings, store, requests, writes);
    }

    /** @param clusterState of the leading node, or null: who is bound to a set is known there alone */
    void handle(String method, String path, byte[] body, ClusterState clusterState, ApiResponder responder) {
        boolean post = method.equals("POST");
        String rest = path.length() > PATH.length() ? path.substring(PATH.length() + 1) : "";
        try {
            JsonNode node = post ? Codec.decodeMap(body) : null;
            int slash = rest.lastIndexOf('/');
            String name = slash < 0 ? rest : rest.substring(0, slash);
            String verb = slash < 0 ? "" : rest.substring(slash + 1);
            if (rest.isEmpty() && !post) {
                list(responder);
            } else if (rest.equals("required") && post) {
                require(node, responder);
            } else if (slash < 0 && !post) {
                show(name, responder);
            } else if (verb.equals("jobs") && !post) {
                jobs(name, clusterState, responder);
            } else if (verb.equals("propose") && post) {
                propose(name, node, responder);
            } else if (verb.equals("approve") && post) {
                KeySet.Change by = by(node);
                long version = Codec.wholeNumber(node, "version", 1, Integer.MAX_VALUE);
                String digest = Codec.text(node, "digest");
                long drainS = Codec.isAbsent(node, "drainS")
                        ? USUAL_DRAIN_S
                        : Codec.wholeNumber(node, "drainS", 0, LONGEST_DRAIN_S);
                change(
                        name,
                        true,
                        before -> known(name, before).approve(version, digest, context.wallMs() + 1000 * drainS, by),
                        responder);
            } else if (verb.equals("revoke") && post) {
                KeySet.Change by = by(node);
                long version = Codec.wholeNumber(node, "version", 1, Integer.MAX_VALUE);
                change(name, false, before -> known(name, before).revoke(version, by), responder);
            } else {
                responder.respond(404, OptimisticUpdater.errorBody("no such path"));
            }
        } catch (MalformedMessageException e) {
            responder.respond(400, OptimisticUpdater.errorBody(e.getMessage()));
        }
    }

    private KeySet.Change by(JsonNode node) throws MalformedMessageException {
        try {
            return new KeySet.Change(Codec.text(node, "who"), context.wallMs(), Codec.text(node, "why"));
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException(e.getMessage());
        }
    }

    private static KeySet known(String name, KeySet before) throws MalformedMessageException {
        if (before == null) {
            throw new MalformedMessageException("name = " + name + ": the name of a key set is expected");
        }
        return before;
    }

    // ---- changes ----

    private void propose(String name, JsonNode node, ApiResponder responder) throws MalformedMessageException {
        KeySet.Change by = by(node);
        String owner = Codec.text(node, "owner");
        if (!settings.teams().containsKey(owner)) {
            throw new MalformedMessageException("owner = " + owner + ": one of "
                    + new TreeSet<>(settings.teams().keySet()) + " is expected");
        }
        List<String> classes =
                Codec.isAbsent(node, "classes") ? List.of() : Codec.textList(node.get("classes"), "classes");
        List<String> fingerprints = Codec.textList(node.get("fingerprints"), "fingerprints");
        if (keys.isLoaded() && keys.names().size() >= MOST_SETS && !keys.names().contains(name)) {
            throw new MalformedMessageException("name = " + name + ": at most " + MOST_SETS + " key sets are allowed");
        }
        change(name, false, before -> KeySet.propose(before, name, owner, classes, fingerprints, by), responder);
    }

    /** @param clears whether a mark of a mismatch goes with it: somebody has looked at what it holds, and says that it is right */
    private void change(String name, boolean clears, Edit edit, ApiResponder responder) {
        if (!KeySet.isValidName(name)) {
            responder.respond(404, OptimisticUpdater.errorBody("no such key set"));
            return;
        }
        amending.updateAsync(
                KeySetRegistry.SETS_PREFIX + name,
                (before, then) -> {
                    KeySet next;
                    try {
                        next = edit.of(before == null ? null : KeySet.parse(before));
                    } catch (MalformedMessageException e) {
                        throw new OptimisticUpdater.RejectedException(
                                before == null && !e.getMessage().startsWith("fingerprints") ? 404 : 409,
                                e.getMessage());
                    }
                    then.complete(
                            next.toNode(),
                            transaction -> {
                                transaction.put(
                                        KeySetRegistry.CHANGE_NUMBERS_PREFIX + name,
                                        Codec.map().put("number", next.changeNumber()));
                                if (clears && keys.snapshot().mismatches().containsKey(name)) {
                                    transaction.delete(KeySetRegistry.MISMATCHES_PREFIX + name);
                                }
                            },
                            shown(next));
                },
                responder);
    }

    /** Which classes and teams need a set. */
    private void require(JsonNode node, ApiResponder responder) throws MalformedMessageException {
        ObjectNode value = Codec.map();
        for (String field : new String[] {"classes", "teams"}) {
            List<String> names = Codec.isAbsent(node, field) ? List.of() : Codec.textList(node.get(field), field);
            if (names.size() > MOST_REQUIRED) {
                throw new MalformedMessageException(field + ": at most " + MOST_REQUIRED + " are allowed");
            }
            for (String name : field.equals("teams") ? names : List.<String>of()) {
                if (!settings.teams().containsKey(name)) {
                    throw new MalformedMessageException("teams = " + name + ": one of "
                            + new TreeSet<>(settings.teams().keySet()) + " is expected");
                }
            }
            ArrayNode row = value.putArray(field);
            names.stream().distinct().sorted().forEach(row::add);
        }
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), 1);
        store.commit(new Transaction().put(KeySetRegistry.REQUIRED_KEY, value), commit -> {
            if (commit.outcome() == CommitResult.Outcome.COMMITTED) {
                responder.respond(200, value);
            } else {
                OptimisticUpdater.respondUnavailable(responder);
            }
        });
    }

    // ---- what is known ----

    private ObjectNode shown(KeySet keySet) {
        ObjectNode node = keySet.toNode();
        KeySets.Mismatch mark = keys.snapshot().mismatches().get(keySet.name());
        if (mark != null) {
            node.putObject("mismatch")
                    .put("saw", mark.found())
                    .put("known", mark.expected())
                    .put("since", mark.detectedAtMs())
                    .put("by", mark.detectedBy());
        }
        return node;
    }

    private void list(ApiResponder responder) {
        if (!keys.isLoaded()) {
            OptimisticUpdater.respondUnavailable(responder);
            return;
        }
        ObjectNode out = Codec.map();
        ArrayNode rows = out.putArray("keysets");
        for (KeySets.StoredKeySet known : keys.snapshot().sets().values()) {
            if (known.set() != null) {
                KeySet.Version version = known.set().approvedVersion();
                ObjectNode row = rows.addObject()
                        .put("name", known.set().name())
                        .put("owner", known.set().owner())
                        .put("versions", known.set().versions().size());
                row.put("approved", version == null ? null : version.version());
                row.put(
                        "mismatch",
                        keys.snapshot().mismatches().containsKey(known.set().name()));
            }
        }
        ArrayNode classes = out.putObject("required").putArray("classes");
        keys.snapshot().requiredClasses().forEach(classes::add);
        ArrayNode teams = ((ObjectNode) out.get("required")).putArray("teams");
        keys.snapshot().requiredTeams().forEach(teams::add);
        responder.respond(200, out);
    }

    private void show(String name, ApiResponder responder) {
        KeySets.StoredKeySet known = keys.snapshot().sets().get(name);
        if (!keys.isLoaded()) {
            OptimisticUpdater.respondUnavailable(responder);
        } else if (known == null || known.set() == null) {
            responder.respond(404, OptimisticUpdater.errorBody("no such key set"));
        } else {
            responder.respond(200, shown(known.set()));
        }
    }

    private void jobs(String name, ClusterState clusterState, ApiResponder responder) {
        if (clusterState == null) {
            responder.respond(
                    421, OptimisticUpdater.errorBody("who is bound to a key set is known to the leading node"));
            return;
        }
        ObjectNode out = Codec.map();
        ArrayNode rows = out.putArray("jobs");
        int more = 0;
        for (Job job : clusterState.jobs()) {
            KeySetBinding pin = job.spec().keySetBinding();
            if (pin == null || !pin.keySet().equals(name)) {
                continue;
            }
            if (rows.size() == MOST_JOBS) {
                more++;
                continue;
            }
            ObjectNode row = rows.addObject()
                    .put("ref", job.id().text())
                    .put("version", pin.version())
                    .put("digest", pin.digest())
                    .put("held", job.keySetHold == null ? null : job.keySetHold.reason());
            List<String> machines = new ArrayList<>();
            for (Placement p : job.record.live.values()) {
                machines.add(p.task.index() + " on " + p.machine.text());
            }
            ArrayNode on = row.putArray("tasks");
            machines.stream().limit(MOST_JOBS).forEach(on::add);
        }
        responder.respond(200, out.put("more", more));
    }
}
