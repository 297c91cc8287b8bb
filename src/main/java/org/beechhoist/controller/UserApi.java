package org.beechhoist.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.beechhoist.config.Policy;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.BoundedCollections;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.leadership.RequestShares;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.controller.worker.CancellationAcknowledgements;
import org.beechhoist.keyset.KeySets;
import org.beechhoist.store.JobRecord;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.StoreClient.CommitResult;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.store.Transaction;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.Revision;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The users' interface, the same on every node: whatever is told comes from the state service, or is a final state.
 */
final class UserApi {
    private static final Logger LOG = LoggerFactory.getLogger(UserApi.class);
    private static final int CACHED_ENDED = 2000;
    private static final int MAX_COMMITS = 4;
    private static final int MAX_QUEUE = 400;
    private static final int MAX_BATCH = 20; // well under the size limit of a transaction
    private static final int MAX_RACES = 6;

    static final String TYPES = "the machine types are not known yet";
    private static final String KEYS = "the key sets are not read yet";
    private static final KeySets.Binding UNBOUND = new KeySets.Binding(null, null);
    private static final String STORE = "the state service does not answer, or this node has used its share of it";
    private static final String FULL = "too many submissions wait here";
    private static final String BUSY = "this node has used its share of the state service's writes";

    /** {@code key}: the version of its once key that it was found to replace. */
    private record Submission(long request, JobSpec spec, Revision key) {}

    private final ControllerContext context;
    private final Settings settings;
    private final Policy policy;
    private final StoreClient store;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final MachineTypeCatalog machineTypes;
    /** Adds to an open job's state what this node knows beyond its record. */
    private final BiConsumer<JobId, ObjectNode> promised;

    private final Map<JobId, JsonNode> ended = BoundedCollections.leastRecentlyUsedMap(CACHED_ENDED);
    private final IdempotencyKeys onceKeys;
    private final ConditionalStatusReads reads;
    private final SharedRecordReads openReads;
    private final TeamRoundRobin turns = new TeamRoundRobin();
    /**
     * What users may take of a leader's changes while they run short: as much as on any other node. With a hundred submissions
     * a second those on the leader's node took all of its part, and nothing was launched for 20 s.
     */
    private final TokenBucket beside;

    private final BooleanSupplier leaderWrites;
    /** Whether this node reaches neither the state service nor another node: what it would ask is not asked. */
    private final BooleanSupplier cutOff;
    /** Null where key sets are off. */
    private final KeySetRegistry keys;
    /** Told of each cancellation that is committed, and when that was, by the time of day, before its user is. */
    private final BiConsumer<JobId, Long> confirmed;

    private final CancellationAcknowledgements acknowledgements;
    private final List<Submission> queue = new ArrayList<>();
    private final ResizeHandler resizing;
    private int commits;

    UserApi(
            ControllerContext context,
            Settings settings,
            Policy policy,
            StoreClient store,
            TokenBucket requests,
            TokenBucket writes,
            MachineTypeCatalog machineTypes,
            BiConsumer<JobId, ObjectNode> promised,
            IdempotencyKeys onceKeys,
            BooleanSupplier leaderWrites,
            BooleanSupplier cutOff,
            KeySetRegistry keys,
            BiConsumer<JobId, Long> confirmed,
            CancellationAcknowledgements acknowledgements) {
        this.confirmed = confirmed;
        this.acknowledgements = acknowledgements;
        this.keys = keys;
        this.cutOff = cutOff;
        this.leaderWrites = leaderWrites;
        this.beside = new TokenBucket(
                Math.max(1, RequestShares.followerShare(settings.stateLimits().writeRps(), settings.nodes())));
        this.onceKeys = onceKeys;
        this.resizing = new ResizeHandler(
                context,
                store,
                requests,
                writes,
                policy,
                (jobId, then) -> read(jobId, requests.tryTake(context.now(), 1), then),
                r -> refuse(r, STORE));
        this.reads = new ConditionalStatusReads(context, store, requests, settings);
        this.openReads = new SharedRecordReads(context, store, requests, settings);
        this.context = context;
        this.settings = settings;
        this.policy = policy;
        this.store = store;
        this.requests = requests;
        this.writes = writes;
        this.machineTypes = machineTypes;
        this.promised = promised;
    }

    void ended(JobId jobId, JsonNode state) {
        reads.forget(jobId);
        ended.put(jobId, state);
    }

    private void refuse(long request, String why) {
        LOG.debug("request {} is refused: {}", request, why);
        context.answer(request, 503, JobStates.reason(why));
    }

    // ---- submission ----

    void submit(long request, byte[] body) {
        JobSpec spec;
        try {
            spec = JobSpec.parse(Codec.decodeMap(body));
            if (!policy.elastic().on()) {
                spec = spec.withoutWidth(); // as any field that a node does not know
            }
            spec = (policy.cron().on() ? spec : spec.withoutIdempotencyKey())
                    .withOrigin(null)
                    .withKeySetBinding(null);
            spec = policy.releases() ? spec : spec.withoutRelease();
            spec = keys == null ? spec.withoutKeySet() : spec; // as any field that a node does not know
        } catch (MalformedMessageException e) {
            context.answer(request, 400, JobStates.reason(e.getMessage()));
            return;
        }
        JsonNode over = ended.get(spec.id());
        if (over != null) {
            context.answer(request, 200, JobStates.endedState(spec.id(), over));
            return;
        }
        if (cutOff.getAsBoolean()) {
            refuse(request, STORE);
            return;
        }
        if (!machineTypes.isLoaded()) {
            refuse(request, TYPES);
            return;
        }
        enter(request, spec);
    }

    private void enter(long request, JobSpec spec) {
        KeySets.Binding binding = bind(spec);
        if (binding == null) {
            refuse(request, KEYS);
            return;
        }
        String never = neverRuns(spec) == null ? binding.refusal() : neverRuns(spec);
        if (never != null) {
            // A job that was accepted once, when there were other machine types, is never refused later.
            read(spec.id(), requests.tryTake(context.now(), 1), found -> {
                if (found == null) {
                    refuse(request, STORE);
                } else if (found.status == null) {
                    context.answer(request, 422, JobStates.reason(never));
                } else {
                    context.answer(request, 200, found.status);
                }
            });
            return;
        }
        if (queue.size() >= MAX_QUEUE) {
            refuse(request, FULL);
            return;
        }
        if (!turns.may(spec.team(), writes.available(context.now()) - queue.size(), writes.capacity(), context.now())) {
            writes.recordMissed(1);
            refuse(request, BUSY);
            return;
        }
        turns.given(spec.team(), context.now());
        queue.add(new Submission(request, spec.withKeySetBinding(binding.keySetBinding()), Revision.ABSENT));
        flush();
    }

    /** Why a job of a schedule can't enter, by the rules for every submission: for now ({@link #later}) or ever; or null. */
    String judge(JobSpec spec) {
        KeySets.Binding b = bind(spec);
        return !machineTypes.isLoaded()
                ? TYPES
                : b == null ? KEYS : b.refusal() != null ? b.refusal() : neverRuns(spec);
    }

    static boolean later(String why) {
        return TYPES.equals(why) || KEYS.equals(why);
    }

    /** A job that was judged well, bound to its key set if it needs one. */
    JobSpec bound(JobSpec spec) {
        return spec.withKeySetBinding(bind(spec).keySetBinding());
    }

    /** Null: nothing is known yet. */
    private KeySets.Binding bind(JobSpec spec) {
        return keys == null ? UNBOUND : keys.bind(spec);
    }

    private String neverRuns(JobSpec spec) {
        Settings.Team team = settings.teams().get(spec.team());
        if (team == null) {
            return "owner: unknown team";
        }
        if (!spec.fitsAnyType(machineTypes.all())) {
            return "a task fits no allowed machine type";
        }
        int together = spec.isService() || spec.isGang() ? spec.tasks() : 1;
        if (together * spec.cpus() > team.cpusMax() + 1e-6 || together * spec.gpus() > team.gpusMax() + 1e-6) {
            return "more than the team's limit";
        }
        return null;
    }

    private void flush() {
        while (!queue.isEmpty() && commits < MAX_COMMITS) {
            double left = Math.min(
                    writes.available(context.now()),
                    leaderWrites.getAsBoolean() ? beside.available(context.now()) : MAX_BATCH);
            int room = (int) Math.min(Math.min(settings.stateLimits().txnOps(), MAX_BATCH), Math.floor(left));
            if (room < 1 || !requests.tryTake(context.now(), 1)) {
                // Refused rather than held: the user is told when to come back.
                writes.recordMissed(queue.size());
                queue.forEach(s -> refuse(s.request, BUSY));
                queue.clear();
                return;
            }
            List<Submission> batch = new ArrayList<>();
            List<Submission> twins = new ArrayList<>();
            int puts = 0;
            Set<String> keys = new HashSet<>();
            while (!queue.isEmpty() && (batch.isEmpty() || puts + IdempotencyKeys.puts(queue.get(0).spec) <= room)) {
                Submission submission = queue.get(0);
                if (submission.spec.idempotencyKey() != null && !keys.add(IdempotencyKeys.place(submission.spec))) {
                    break; // the same work twice: the second is answered after the first
                }
                queue.remove(0);
                boolean twin = batch.stream().anyMatch(o -> o.spec.id().equals(submission.spec.id()));
                (twin ? twins : batch).add(submission);
                puts += IdempotencyKeys.puts(submission.spec);
            }
            writes.takeOrOverdraw(context.now(), puts);
            beside.takeOrOverdraw(context.now(), puts);
            send(batch);
            twins.forEach(t -> answerKnown(t.request, t.spec.id()));
        }
    }

    private void send(List<Submission> batch) {
        Transaction transaction = new Transaction();
        for (Submission s : batch) {
            onceKeys.enter(transaction, s.spec, s.key, context.wallMs());
        }
        commits++;
        store.commit(transaction, commit -> {
            commits--;
            if (commit.outcome() == CommitResult.Outcome.COMMITTED) {
                for (Submission submission : batch) {
                    reads.remember(
                            submission.spec.id(),
                            commit.revision(),
                            JobStates.openState(
                                    submission.spec.id(), new JobRecord(submission.spec, context.wallMs()).toNode()));
                    context.answer(submission.request, 201, JobStates.state(submission.spec.id(), "queued"));
                }
            } else if (commit.outcome() == CommitResult.Outcome.CONFLICT) {
                for (Submission submission : batch) {
                    if (commit.failedKeys().contains(JobRecord.openKey(submission.spec.id()))
                            || commit.failedKeys().contains(JobRecord.endedKey(submission.spec.id()))) {
                        answerKnown(submission.request, submission.spec.id());
                    } else if (submission.spec.idempotencyKey() != null
                            && commit.failedKeys().contains(IdempotencyKeys.place(submission.spec))) {
                        sameWork(submission);
                    } else if (submission.spec.keySetBinding() != null
                            && commit.failedKeys()
                                    .contains(KeySetRegistry.SETS
                                            + submission.spec.keySetBinding().keySet())) {
                        keys.overtaken(
                                Set.of(KeySetRegistry.SETS
                                        + submission.spec.keySetBinding().keySet()),
                                () -> enter(submission.request, submission.spec.withKeySetBinding(null)));
                    } else {
                        queue.add(submission);
                    }
                }
            } else {
                batch.forEach(s -> refuse(s.request, STORE));
            }
            flush();
        });
    }

    /** Its key is taken: the answer is the first one's, unless that is longer ago than its class says. */
    private void sameWork(Submission submission) {
        requests.takeOrOverdraw(context.now(), 1);
        store.get(IdempotencyKeys.place(submission.spec), read -> {
            JobId owner = read.item() == null
                    ? null
                    : IdempotencyKeys.owner(read.item().value(), context.wallMs());
            if (!read.answered()) {
                refuse(submission.request, STORE);
            } else if (owner != null) {
                answerKnown(submission.request, owner);
            } else {
                queue.add(new Submission(
                        submission.request,
                        submission.spec,
                        read.item() == null ? Revision.ABSENT : read.item().version()));
                flush();
            }
        });
    }

    private void answerKnown(long request, JobId jobId) {
        requests.takeOrOverdraw(context.now(), 1);
        read(jobId, true, found -> {
            if (found == null || found.status == null) {
                refuse(request, STORE);
            } else {
                context.answer(request, 200, found.status);
            }
        });
    }

    // ---- state ----

    /** What the state service holds of a job; {@code status} is null where it holds nothing. */
    record Found(JsonNode status, StoreClient.KeyValue open) {}

    /** Reads a job; hands over null where nothing could be learnt. */
    private void read(JobId jobId, boolean allowed, Consumer<Found> then) {
        JsonNode over = ended.get(jobId);
        if (over != null) {
            then.accept(new Found(JobStates.endedState(jobId, over), null));
            return;
        }
        if (!allowed || cutOff.getAsBoolean()) {
            then.accept(null);
            return;
        }
        store.get(JobRecord.openKey(jobId), open -> found(jobId, open, then));
    }

    /** Open before ended: a job moves from the one to the other, so this order can't miss it. */
    private void found(JobId jobId, StoreClient.ReadResult open, Consumer<Found> then) {
        if (!open.answered()) {
            then.accept(null);
        } else if (open.item() != null && JobRecord.isFinalState(open.item().value())) {
            ended.put(jobId, open.item().value());
            then.accept(new Found(JobStates.endedState(jobId, open.item().value()), null));
        } else if (open.item() != null) {
            then.accept(new Found(JobStates.openState(jobId, open.item().value()), open.item()));
        } else {
            requests.takeOrOverdraw(context.now(), 1);
            store.get(JobRecord.endedKey(jobId), end -> {
                if (!end.answered()) {
                    then.accept(null);
                } else if (end.item() == null) {
                    then.accept(new Found(null, null));
                } else {
                    ended.put(jobId, end.item().value());
                    then.accept(new Found(JobStates.endedState(jobId, end.item().value()), null));
                }
            });
        }
    }

    /** A job's state for somebody else's answer, or null where it can't be told now. */
    void peek(JobId jobId, Consumer<JsonNode> then) {
        read(jobId, requests.tryTake(context.now(), 1), found -> then.accept(found == null ? null : found.status));
    }

    void status(long request, JobId jobId) {
        if (ended.containsKey(jobId)) {
            read(jobId, true, found -> told(request, jobId, found));
            return;
        }
        if (cutOff.getAsBoolean()) {
            refuse(request, STORE);
            return;
        }
        reads.poll(jobId, (result, state) -> {
            switch (result) {
                case SAME -> {
                    promised.accept(jobId, state);
                    context.answer(request, 200, state);
                }
                case READ -> openReads.read(jobId, open -> readStatus(request, jobId, open));
                default -> refuse(request, STORE);
            }
        });
    }

    private void readStatus(long request, JobId jobId, StoreClient.ReadResult open) {
        JsonNode over = ended.get(jobId);
        if (over != null) {
            told(request, jobId, new Found(JobStates.endedState(jobId, over), null));
        } else {
            found(jobId, open, f -> told(request, jobId, f));
        }
    }

    private void told(long request, JobId jobId, Found found) {
        if (found == null) {
            refuse(request, STORE);
        } else if (found.status == null) {
            context.answer(request, 404, JobStates.reason("no such job"));
        } else {
            if (found.open != null) {
                reads.remember(jobId, found.open.version(), (ObjectNode) found.status);
                promised.accept(jobId, (ObjectNode) found.status);
            }
            context.answer(request, 200, found.status);
        }
    }

    // ---- cancellation ----

    void cancel(long request, JobId jobId, int races) {
        read(jobId, requests.tryTake(context.now(), 1), found -> {
            if (found == null || races > MAX_RACES) {
                refuse(request, STORE);
            } else if (found.status == null) {
                context.answer(request, 404, JobStates.reason("no such job"));
            } else if (found.open == null) {
                context.answer(
                        request,
                        200,
                        JobStates.state(jobId, found.status.get("status").asText()));
            } else if (found.open.value().path("cancel").asLong() > 0) {
                confirmed.accept(jobId, found.open.value().path("cancel").asLong());
                answerCancelled(request, jobId);
            } else {
                mark(request, jobId, found.open, races);
            }
        });
    }

    /** Cancels a run that another of its schedule replaces; {@code then} is told whether that is certain. */
    void replace(JobId jobId, Consumer<Boolean> then) {
        read(jobId, requests.tryTake(context.now(), 1), found -> {
            if (found == null
                    || found.open == null
                    || found.open.value().path("cancel").asLong() > 0) {
                then.accept(found != null);
                return;
            }
            commitCancel(jobId, found.open, c -> then.accept(c.outcome() == CommitResult.Outcome.COMMITTED));
        });
    }

    private void commitCancel(JobId jobId, StoreClient.KeyValue open, Consumer<CommitResult> then) {
        long at = Math.max(1, context.wallMs());
        ObjectNode value = ((ObjectNode) open.value()).deepCopy().put("cancel", at);
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), 1);
        String key = JobRecord.openKey(jobId);
        store.commit(new Transaction().guard(key, open.version()).put(key, value), commit -> {
            if (commit.outcome() == CommitResult.Outcome.COMMITTED) {
                confirmed.accept(jobId, at);
            }
            then.accept(commit);
        });
    }

    private void mark(long request, JobId jobId, StoreClient.KeyValue open, int races) {
        commitCancel(jobId, open, commit -> {
            switch (commit.outcome()) {
                case COMMITTED -> answerCancelled(request, jobId);
                case CONFLICT -> cancel(request, jobId, races + 1);
                default -> refuse(request, STORE);
            }
        });
    }

    private void answerCancelled(long request, JobId jobId) {
        acknowledgements.await(jobId, () -> context.answer(request, 200, JobStates.state(jobId, "cancelled")));
    }

    /** Changes what width a job's user allows it; the leader follows. */
    void resize(long request, JobId jobId, byte[] body) {
        resizing.resize(request, jobId, body);
    }
}
