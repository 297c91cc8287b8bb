package org.beechhoist.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.beechhoist.store.ChangeLogSegment;

/** Copies of calls that were carried out and answered: they arrive once more, and nobody waits for their answers. */
final class CallCopies {
    /** The calls that a network can repeat; copies of heartbeats are made by {@link Copies}. */
    enum Kind {
        COMMAND,
        TRANSACTION,
        LEASE,
        RENTAL,
        RETURN,
        PEER_STATE,
        SUBMISSION,
        CANCELLATION
    }

    private static final double EARLIEST_MS = 300;
    private static final double LATEST_MS = 180_000;
    /** How long after a worker has forgotten an attempt copies of its launch arrive. */
    private static final long[] AFTER_FORGET_MS = {10, 1000, 20_000, 90_000};

    /** How long after a segment was overwritten a copy of the transaction that wrote its older content arrives. */
    private static final long AFTER_OVERWRITE_MS = 50;

    /** How long after a restarted worker has heard of the leader copies of what its machine was sent before arrive. */
    private static final long[] AFTER_RESTART_MS = {10, 1000, 20_000, 90_000};

    /** How long after its machine is back, and before the worker has sent anything. */
    private static final long BEFORE_FIRST_HEARTBEAT_MS = 20;

    /** The launches that one worker has carried out. */
    static final class WorkerLaunches {
        /** By attempt, until the worker has forgotten it. */
        private final Map<String, Runnable> callsByAttempt = new HashMap<>();
        /** Those of all workers that the machine has had, to whichever it has when a copy arrives. */
        private final List<Runnable> callsToMachine = new ArrayList<>();

        /** The launches of the worker that follows on the same machine. */
        WorkerLaunches ofNextWorker() {
            WorkerLaunches next = new WorkerLaunches();
            next.callsToMachine.addAll(callsToMachine);
            return next;
        }
    }

    private final World world;
    private final SplittableRandom random;
    private final Map<Kind, Double> shares = new EnumMap<>(Kind.class);
    /** The share of launches of which a copy arrives after the worker has forgotten the attempt, once after each delay. */
    double afterForget;

    /** The share of a machine's launches of which copies reach its restarted worker, once after each delay. */
    double afterRestart;
    /** The share of which a copy arrives before the restarted worker has sent anything. */
    double beforeFirstHeartbeat;

    int arrivedAfterRestart;

    private final Map<String, Runnable> transactionsBySegment = new HashMap<>();
    /** Keys that copies of transactions have written, by prefix. */
    final Map<String, Integer> writtenAgain = new TreeMap<>();

    int segmentsOverwritten;

    final Map<Kind, Integer> arrived = new EnumMap<>(Kind.class);
    /** Copies of launches that arrived after the worker had forgotten the attempt, by the cause of its exit. */
    final Map<String, Integer> arrivedAfterForget = new TreeMap<>();

    CallCopies(World world, long seed) {
        this.world = world;
        this.random = new SplittableRandom(seed);
    }

    void setShare(Kind kind, double share) {
        shares.put(kind, share);
    }

    void setShareOfAll(double share) {
        for (Kind kind : Kind.values()) {
            setShare(kind, share);
        }
    }

    /** The node at which a copy of a user's request arrives. */
    int anyNode(int count) {
        return random.nextInt(count);
    }

    /** A call was carried out; of some a copy arrives later. */
    void carriedOut(Kind kind, Runnable copy) {
        if (random.nextDouble() < shares.getOrDefault(kind, 0.0)) {
            long delayMs = Math.round(EARLIEST_MS * Math.pow(LATEST_MS / EARLIEST_MS, random.nextDouble()));
            world.later(delayMs, () -> {
                arrived.merge(kind, 1, Integer::sum);
                copy.run();
            });
        }
    }

    /** A transaction was applied; a copy arrives once a newer one has written the same segment of the change log. */
    void transactionApplied(JsonNode body, Runnable copy) {
        carriedOut(Kind.TRANSACTION, copy);
        for (JsonNode operation : body.path("then")) {
            String key = operation.path("put").asText();
            Runnable older = key.startsWith(ChangeLogSegment.PREFIX) ? transactionsBySegment.put(key, copy) : null;
            if (older != null) {
                segmentsOverwritten++;
                world.later(AFTER_OVERWRITE_MS, older);
            }
        }
    }

    /** A copy of a transaction was applied: the keys that it has written once more. */
    void transactionAppliedAgain(JsonNode body) {
        for (JsonNode operation : body.path("then")) {
            String key = operation.path(operation.has("put") ? "put" : "remove").asText();
            writtenAgain.merge(key.substring(0, key.indexOf('/') + 1), 1, Integer::sum);
        }
    }

    /**
     * A worker has carried out direct commands.
     *
     * @param copy delivers them once more to this worker
     * @param copyToMachine delivers them once more to whichever worker the machine then has
     */
    void commandsCarriedOut(WorkerLaunches launches, JsonNode body, Runnable copy, Runnable copyToMachine) {
        carriedOut(Kind.COMMAND, copy);
        boolean launched = false;
        for (JsonNode command : body.path("orders")) {
            if (command.path("verb").asText().equals("launch")) {
                launches.callsByAttempt.put(attempt(command), copy);
                launched = true;
            }
        }
        if (launched) {
            launches.callsToMachine.add(copyToMachine);
        }
    }

    /** A machine is back with a worker that knows nothing. */
    void machineBack(WorkerLaunches before) {
        deliverToRestarted(before, beforeFirstHeartbeat, BEFORE_FIRST_HEARTBEAT_MS);
    }

    /** A restarted worker has heard of the leader for the first time. */
    void restartedWorkerReached(WorkerLaunches before) {
        for (long delayMs : AFTER_RESTART_MS) {
            deliverToRestarted(before, afterRestart, delayMs);
        }
    }

    private void deliverToRestarted(WorkerLaunches before, double share, long delayMs) {
        for (Runnable call : share == 0 ? List.<Runnable>of() : before.callsToMachine) {
            if (random.nextDouble() < share) {
                world.later(delayMs, () -> {
                    arrivedAfterRestart++;
                    call.run();
                });
            }
        }
    }

    /** A worker has carried out the commands in the response to its heartbeat. */
    void responseCarriedOut(WorkerLaunches launches, JsonNode heartbeat, JsonNode response) {
        for (JsonNode command : response.path("orders")) {
            Runnable call = command.path("verb").asText().equals("forget")
                    ? launches.callsByAttempt.remove(attempt(command))
                    : null;
            if (call == null) {
                continue;
            }
            String cause = causeOf(heartbeat, attempt(command));
            for (long delayMs : AFTER_FORGET_MS) {
                if (random.nextDouble() < afterForget) {
                    world.later(delayMs, () -> {
                        arrivedAfterForget.merge(cause, 1, Integer::sum);
                        call.run();
                    });
                }
            }
        }
    }

    /** The counts in one word, for the line that a trial prints. */
    static String summary(Map<?, Integer> counts) {
        return counts.isEmpty()
                ? "none"
                : counts.entrySet().stream()
                        .map(e -> e.getKey() + ":" + e.getValue())
                        .collect(Collectors.joining(","));
    }

    private static String attempt(JsonNode commandOrStatus) {
        return commandOrStatus.path("piece").asText() + "#"
                + commandOrStatus.path("try").asText();
    }

    private static String causeOf(JsonNode heartbeat, String attempt) {
        for (JsonNode status : heartbeat.path("pieces")) {
            if (attempt(status).equals(attempt)) {
                return status.path("cause").asText();
            }
        }
        return "unknown";
    }
}
