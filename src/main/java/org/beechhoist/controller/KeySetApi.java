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
 * Serves {@code /v1/keysets}: proposals, approvals and revocations of key set versions, and the classes and teams whose jobs need a
 * key set. Each change is committed before the reply is sent. The commit is guarded by the revision that the change is based on, and
 * stores the set's change number too.
 */
final class KeySetApi {
    static final String PATH = "/v1/keysets";
    private static final int MAX_SET_COUNT = 1000;
    private static final int MAX_REQUIRED_COUNT = 100;
    private static final int MAX_LISTED_COUNT = 200;
    private static final long DEFAULT_DRAIN_S = 24 * 3600;
    private static final long MAX_DRAIN_S = 366 * 24 * 3600L;

    /** Computes the next content of a set from the stored one, null if there is none. */
    private interface KeySetUpdate {
        KeySet apply(KeySet before) throws MalformedMessageException;
    }

    private final ControllerContext context;
    private final Settings settings;
    private final StoreClient store;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final KeySetRegistry registry;
    private final OptimisticUpdater updater;

    KeySetApi(
            ControllerContext context,
            Settings settings,
            StoreClient store,
            TokenBucket requests,
            TokenBucket writes,
            KeySetRegistry registry) {
        this.context = context;
        this.settings = settings;
        this.store = store;
        this.requests = requests;
        this.writes = writes;
        this.registry = registry;
        this.updater = new OptimisticUpdater(context, settings, store, requests, writes);
    }

    /**
     * Handles a request.
     *
     * @param clusterState the cluster state if this node leads, otherwise null; only the leader knows which jobs are bound to a set
     */
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
                setRequired(node, responder);
            } else if (slash < 0 && !post) {
                show(name, responder);
            } else if (verb.equals("jobs") && !post) {
                listJobs(name, clusterState, responder);
            } else if (verb.equals("propose") && post) {
                propose(name, node, responder);
            } else if (verb.equals("approve") && post) {
                KeySet.Change requested = parseChange(node);
                long version = Codec.wholeNumber(node, "version", 1, Integer.MAX_VALUE);
                String digest = Codec.text(node, "digest");
                long drainS = Codec.isAbsent(node, "drainS")
                        ? DEFAULT_DRAIN_S
                        : Codec.wholeNumber(node, "drainS", 0, MAX_DRAIN_S);
                change(
                        name,
                        true,
                        before -> requireExisting(name, before)
                                .approve(version, digest, context.wallMs() + 1000 * drainS, requested),
                        responder);
            } else if (verb.equals("revoke") && post) {
                KeySet.Change requested = parseChange(node);
                long version = Codec.wholeNumber(node, "version", 1, Integer.MAX_VALUE);
                change(name, false, before -> requireExisting(name, before).revoke(version, requested), responder);
            } else {
                responder.respond(404, OptimisticUpdater.errorBody("no such path"));
            }
        } catch (MalformedMessageException e) {
            responder.respond(400, OptimisticUpdater.errorBody(e.getMessage()));
        }
    }

    private KeySet.Change parseChange(JsonNode node) throws MalformedMessageException {
        try {
            return new KeySet.Change(Codec.text(node, "who"), context.wallMs(), Codec.text(node, "why"));
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException(e.getMessage());
        }
    }

    private static KeySet requireExisting(String name, KeySet before) throws MalformedMessageException {
        if (before == null) {
            throw new MalformedMessageException("name = " + name + ": the name of a key set is expected");
        }
        return before;
    }

    // ---- changes ----

    private void propose(String name, JsonNode node, ApiResponder responder) throws MalformedMessageException {
        KeySet.Change requested = parseChange(node);
        String owner = Codec.text(node, "owner");
        if (!settings.teams().containsKey(owner)) {
            throw new MalformedMessageException("owner = " + owner + ": one of "
                    + new TreeSet<>(settings.teams().keySet()) + " is expected");
        }
        List<String> classes =
                Codec.isAbsent(node, "classes") ? List.of() : Codec.textList(node.get("classes"), "classes");
        List<String> fingerprints = Codec.textList(node.get("fingerprints"), "fingerprints");
        if (registry.isLoaded()
                && registry.names().size() >= MAX_SET_COUNT
                && !registry.names().contains(name)) {
            throw new MalformedMessageException(
                    "name = " + name + ": at most " + MAX_SET_COUNT + " key sets are allowed");
        }
        change(name, false, before -> KeySet.propose(before, name, owner, classes, fingerprints, requested), responder);
    }

    /**
     * Commits a change of a set.
     *
     * @param clearsMismatch whether the change removes a recorded mismatch, because a person has confirmed the content
     */
    private void change(String name, boolean clearsMismatch, KeySetUpdate update, ApiResponder responder) {
        if (!KeySet.isValidName(name)) {
            responder.respond(404, OptimisticUpdater.errorBody("no such key set"));
            return;
        }
        updater.updateAsync(
                KeySetRegistry.SETS_PREFIX + name,
                (before, completion) -> {
                    KeySet next;
                    try {
                        next = update.apply(before == null ? null : KeySet.parse(before));
                    } catch (MalformedMessageException e) {
                        throw new OptimisticUpdater.RejectedException(
                                before == null && !e.getMessage().startsWith("fingerprints") ? 404 : 409,
                                e.getMessage());
                    }
                    completion.complete(
                            next.toNode(),
                            transaction -> {
                                transaction.put(
                                        KeySetRegistry.CHANGE_NUMBERS_PREFIX + name,
                                        Codec.map().put("number", next.changeNumber()));
                                if (clearsMismatch
                                        && registry.snapshot().mismatches().containsKey(name)) {
                                    transaction.delete(KeySetRegistry.MISMATCHES_PREFIX + name);
                                }
                            },
                            toView(next));
                },
                responder);
    }

    /** Stores which classes and teams need a key set. */
    private void setRequired(JsonNode node, ApiResponder responder) throws MalformedMessageException {
        ObjectNode value = Codec.map();
        for (String field : new String[] {"classes", "teams"}) {
            List<String> names = Codec.isAbsent(node, field) ? List.of() : Codec.textList(node.get(field), field);
            if (names.size() > MAX_REQUIRED_COUNT) {
                throw new MalformedMessageException(field + ": at most " + MAX_REQUIRED_COUNT + " are allowed");
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

    // ---- views ----

    private ObjectNode toView(KeySet keySet) {
        ObjectNode node = keySet.toNode();
        KeySets.Mismatch mismatch = registry.snapshot().mismatches().get(keySet.name());
        if (mismatch != null) {
            node.putObject("mismatch")
                    .put("saw", mismatch.found())
                    .put("known", mismatch.expected())
                    .put("since", mismatch.detectedAtMs())
                    .put("by", mismatch.detectedBy());
        }
        return node;
    }

    private void list(ApiResponder responder) {
        if (!registry.isLoaded()) {
            OptimisticUpdater.respondUnavailable(responder);
            return;
        }
        ObjectNode reply = Codec.map();
        ArrayNode rows = reply.putArray("keysets");
        for (KeySets.StoredKeySet stored : registry.snapshot().sets().values()) {
            if (stored.set() != null) {
                KeySet.Version version = stored.set().approvedVersion();
                ObjectNode row = rows.addObject()
                        .put("name", stored.set().name())
                        .put("owner", stored.set().owner())
                        .put("versions", stored.set().versions().size());
                row.put("approved", version == null ? null : version.version());
                row.put(
                        "mismatch",
                        registry.snapshot()
                                .mismatches()
                                .containsKey(stored.set().name()));
            }
        }
        ArrayNode classes = reply.putObject("required").putArray("classes");
        registry.snapshot().requiredClasses().forEach(classes::add);
        ArrayNode teams = ((ObjectNode) reply.get("required")).putArray("teams");
        registry.snapshot().requiredTeams().forEach(teams::add);
        responder.respond(200, reply);
    }

    private void show(String name, ApiResponder responder) {
        KeySets.StoredKeySet stored = registry.snapshot().sets().get(name);
        if (!registry.isLoaded()) {
            OptimisticUpdater.respondUnavailable(responder);
        } else if (stored == null || stored.set() == null) {
            responder.respond(404, OptimisticUpdater.errorBody("no such key set"));
        } else {
            responder.respond(200, toView(stored.set()));
        }
    }

    private void listJobs(String name, ClusterState clusterState, ApiResponder responder) {
        if (clusterState == null) {
            responder.respond(
                    421, OptimisticUpdater.errorBody("who is bound to a key set is known to the leading node"));
            return;
        }
        ObjectNode reply = Codec.map();
        ArrayNode rows = reply.putArray("jobs");
        int omitted = 0;
        for (Job job : clusterState.jobs()) {
            KeySetBinding binding = job.spec().keySetBinding();
            if (binding == null || !binding.keySet().equals(name)) {
                continue;
            }
            if (rows.size() == MAX_LISTED_COUNT) {
                omitted++;
                continue;
            }
            ObjectNode row = rows.addObject()
                    .put("ref", job.id().text())
                    .put("version", binding.version())
                    .put("digest", binding.digest())
                    .put("held", job.keySetHold == null ? null : job.keySetHold.reason());
            List<String> machines = new ArrayList<>();
            for (Placement p : job.record.live.values()) {
                machines.add(p.task.index() + " on " + p.machine.text());
            }
            ArrayNode tasks = row.putArray("tasks");
            machines.stream().limit(MAX_LISTED_COUNT).forEach(tasks::add);
        }
        responder.respond(200, reply.put("more", omitted));
    }
}
