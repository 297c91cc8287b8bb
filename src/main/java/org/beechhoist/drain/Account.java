package org.beechhoist.drain;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.TaskId;

/**
 * The disruptions of one team's work: the tasks that are away (stopped on purpose and not running again), the time at which each task was
 * last disrupted on purpose, and the disrupted tasks and lost CPU seconds by class and cause, for the last hour and for all time before
 * it.
 * Stored in the state service under {@code dr/acct/TEAM}.
 */
public final class Account {
    private static final long HOUR_MS = 3_600_000;
    private static final long SLOT_MS = 300_000;
    private static final long MS_PER_S = 1000;
    /** Number of tasks that one record can hold in addition to its sums, to stay below the size limit of a record. */
    private static final int MAX_RECORDED_TASKS = 100;
    /** Number of classes with sums of their own; further classes are counted together as {@link #OTHER_CLASSES}. */
    private static final int MAX_CLASSES = 10;

    private static final String OTHER_CLASSES = "others";
    /** Array elements that the stored form uses for one task that is away. */
    private static final int AWAY_ELEMENT_COUNT = 6;
    /** Array elements that the stored form uses for the time at which one task was last disrupted. */
    private static final int LAST_ELEMENT_COUNT = 2;

    /** A task that was stopped on purpose and does not run again yet; {@code attempt} is the one that was stopped. */
    public record Away(long attempt, String jobClass, Cause cause, double lostCpuS, long atMs) {}

    /** A number of disrupted tasks and the CPU seconds that they lost. */
    public record Sum(int tasks, double cpuS) {
        Sum plus(int count, double seconds) {
            return new Sum(tasks + count, cpuS + seconds);
        }
    }

    private final Map<TaskId, Away> away = new HashMap<>();
    /** Time at which each task was last disrupted on purpose, in wall clock time. */
    private final Map<TaskId, Long> lastDisruptedMs = new HashMap<>();
    /** Sums by slot of five minutes, then by class and cause. */
    private final TreeMap<Long, Map<String, Sum>> slots = new TreeMap<>();

    /** Sums by class and cause of all disruptions that are older than the slots. */
    private final Map<String, Sum> olderSums = new TreeMap<>();

    /** Returns a copy that changes independently of this account. */
    public Account copy() {
        Account account = new Account();
        account.away.putAll(away);
        account.lastDisruptedMs.putAll(lastDisruptedMs);
        slots.forEach((slot, sums) -> account.slots.put(slot, new TreeMap<>(sums)));
        account.olderSums.putAll(olderSums);
        return account;
    }

    /** Returns the key of a sum: the class and the cause. */
    private static String sumKey(String jobClass, Cause cause) {
        return jobClass + " " + cause.name();
    }

    /** Returns the class under which disruptions of the given class are counted. */
    private String accountedClass(String jobClass) {
        Set<String> classes = new HashSet<>();
        sums().keySet().forEach(key -> classes.add(key.substring(0, key.indexOf(' '))));
        return classes.contains(jobClass) || classes.size() < MAX_CLASSES ? jobClass : OTHER_CLASSES;
    }

    /** Makes the stored form smaller by merging all slots of the hour into the newest one; the merged sums therefore count for longer. */
    public void mergeSlots() {
        if (slots.size() > 1) {
            Map<String, Sum> newest = slots.lastEntry().getValue();
            long newestSlot = slots.lastKey();
            slots.headMap(newestSlot)
                    .values()
                    .forEach(m -> m.forEach((k, s) -> newest.merge(k, s, (x, y) -> x.plus(y.tasks, y.cpuS))));
            slots.headMap(newestSlot).clear();
        }
    }

    /** Counts one disruption of a task, and remembers the task as away if the disruption was on purpose. */
    public void charge(TaskId task, Away absence) {
        slots.computeIfAbsent(absence.atMs / SLOT_MS, k -> new TreeMap<>())
                .merge(
                        sumKey(accountedClass(absence.jobClass), absence.cause),
                        new Sum(1, absence.lostCpuS),
                        (x, y) -> x.plus(y.tasks, y.cpuS));
        if (absence.cause.onPurpose()) {
            away.put(task, absence);
            lastDisruptedMs.put(task, absence.atMs);
        }
    }

    /** Records that a task is no longer away: it runs again, or never will. */
    public void clearAway(TaskId task) {
        away.remove(task);
    }

    /** Removes the charge for a task that was not stopped after it was charged. */
    public void refund(TaskId task) {
        Away absence = away.remove(task);
        if (absence == null) {
            return;
        }
        lastDisruptedMs.remove(task);
        String key = sumKey(accountedClass(absence.jobClass), absence.cause);
        Map<String, Sum> sums = olderSums;
        for (Map<String, Sum> slot : slots.tailMap(absence.atMs / SLOT_MS).values()) {
            // The task's own slot, or the later slot into which it was merged.
            sums = sums == olderSums && slot.containsKey(key) ? slot : sums;
        }
        sums.computeIfPresent(key, (k, s) -> s.tasks > 1 ? s.plus(-1, -absence.lostCpuS) : null);
    }

    /** Returns the tasks that are away, as an immutable copy. */
    public Map<TaskId, Away> away() {
        return Map.copyOf(away);
    }

    /** Returns whether the task was stopped on purpose and does not run again yet. */
    public boolean isAway(TaskId task) {
        return away.containsKey(task);
    }

    /**
     * Folds slots older than an hour into the total sums, and drops the time of a task's last disruption once it is longer ago than any
     * budget's minimum interval.
     */
    public void foldExpiredSlots(long nowMs) {
        while (!slots.isEmpty() && (slots.firstKey() + 1) * SLOT_MS < nowMs - HOUR_MS) {
            slots.pollFirstEntry()
                    .getValue()
                    .forEach((k, s) -> olderSums.merge(k, s, (x, y) -> x.plus(y.tasks, y.cpuS)));
        }
        lastDisruptedMs.values().removeIf(at -> nowMs - at > MS_PER_S * DisruptionBudget.MAX_AGAIN_S);
    }

    /** Returns the sum of the last hour for one class, or for all classes if {@code jobClass} is null. */
    public Sum lastHour(String jobClass, long nowMs) {
        Sum sum = new Sum(0, 0);
        for (Map<String, Sum> slot : slots.tailMap((nowMs - HOUR_MS) / SLOT_MS).values()) {
            for (Map.Entry<String, Sum> entry : slot.entrySet()) {
                if (jobClass == null || entry.getKey().startsWith(jobClass + " ")) {
                    sum = sum.plus(entry.getValue().tasks, entry.getValue().cpuS);
                }
            }
        }
        return sum;
    }

    /** Returns the sums of all time, by class and cause. */
    public Map<String, Sum> sums() {
        Map<String, Sum> out = new TreeMap<>(olderSums);
        slots.values().forEach(slot -> slot.forEach((k, s) -> out.merge(k, s, (x, y) -> x.plus(y.tasks, y.cpuS))));
        return out;
    }

    /** A request to disrupt one task on purpose. */
    public record DisruptionRequest(TaskId task, String jobClass, boolean service, int replicas, double lostCpuS) {}

    /**
     * Returns the reason for which the budget does not allow the disruption now, with the time until it will where that is known; null if
     * it is allowed.
     */
    public String refusalReason(DisruptionBudget budget, DisruptionRequest request, long nowMs) {
        String prefix = "budget of " + budget.key() + ": ";
        if (budget.atOnce() == 0) {
            return prefix + "none of its tasks may be disturbed";
        }
        if (request.service && budget.maxReplicasAway(request.replicas) == 0) {
            return prefix + "of " + request.replicas + " replicas none may be away";
        }
        long awayCount = away.entrySet().stream()
                .filter(e -> budget.jobClass() == null || budget.jobClass().equals(e.getValue().jobClass))
                .count();
        if (awayCount >= budget.atOnce()) {
            return prefix + awayCount + " of " + budget.atOnce() + " tasks are away";
        }
        if (away.size() >= MAX_RECORDED_TASKS
                || lastDisruptedMs.size() >= MAX_RECORDED_TASKS && !lastDisruptedMs.containsKey(request.task)) {
            return prefix + "more tasks than can be remembered were disturbed in the last hour";
        }
        if (request.service
                && away.keySet().stream()
                                .filter(task -> task.job().equals(request.task.job()))
                                .count()
                        >= budget.maxReplicasAway(request.replicas)) {
            return prefix + "a replica of " + request.task.job() + " is away";
        }
        Long previousMs = lastDisruptedMs.get(request.task);
        if (previousMs != null && nowMs - previousMs < MS_PER_S * budget.againS()) {
            return prefix + request.task + " was disturbed " + (nowMs - previousMs) / MS_PER_S + " s ago, again in "
                    + (budget.againS() - (nowMs - previousMs) / MS_PER_S) + " s";
        }
        Sum hour = lastHour(budget.jobClass(), nowMs);
        if (request.lostCpuS > 0 && hour.cpuS + request.lostCpuS > budget.lostCpuSPerHour()) {
            long freedInS = slots.isEmpty() ? 0 : ((slots.firstKey() + 1) * SLOT_MS + HOUR_MS - nowMs) / MS_PER_S;
            return prefix + Math.round(hour.cpuS) + " of " + Math.round(budget.lostCpuSPerHour())
                    + " CPU s of the hour are lost, less in " + Math.max(0, freedInS) + " s";
        }
        return null;
    }

    /** Returns the stored form; CPU seconds are rounded. */
    public ObjectNode toNode() {
        ObjectNode node = Codec.map();
        ArrayNode rows = node.putArray("away");
        away.forEach((task, absence) -> rows.add(task.toString())
                .add(absence.attempt)
                .add(absence.jobClass)
                .add(absence.cause.name())
                .add(Math.round(absence.lostCpuS))
                .add(absence.atMs));
        ArrayNode times = node.putArray("last");
        lastDisruptedMs.forEach((task, at) -> times.add(task.toString()).add(at));
        ObjectNode hour = node.putObject("hour");
        slots.forEach((slot, sums) -> sums.forEach(
                (k, s) -> hour.withObject("/" + slot).putArray(k).add(s.tasks).add(Math.round(s.cpuS))));
        ObjectNode old = node.putObject("before");
        olderSums.forEach((k, s) -> old.putArray(k).add(s.tasks).add(Math.round(s.cpuS)));
        return node;
    }

    /** Reads the stored form and skips unreadable parts: an account that lacks a charge is better than none. */
    public static Account parse(JsonNode node) {
        Account out = new Account();
        readAway(node.path("away"), out.away);
        readLast(node.path("last"), out.lastDisruptedMs);
        readSlots(node.path("hour"), out.slots);
        readSums(node.path("before"), out.olderSums);
        return out;
    }

    private static void readAway(JsonNode rows, Map<TaskId, Away> out) {
        for (int i = 0; i + AWAY_ELEMENT_COUNT - 1 < rows.size(); i += AWAY_ELEMENT_COUNT) {
            TaskId task = TaskId.parse(rows.get(i).asText());
            Cause cause = parseCause(rows.get(i + 3).asText());
            if (task != null && cause != null) {
                long attempt = rows.get(i + 1).asLong();
                String jobClass = rows.get(i + 2).asText();
                double lostCpuS = rows.get(i + 4).asDouble();
                long atMs = rows.get(i + 5).asLong();
                out.put(task, new Away(attempt, jobClass, cause, lostCpuS, atMs));
            }
        }
    }

    private static void readLast(JsonNode rows, Map<TaskId, Long> out) {
        for (int i = 0; i + LAST_ELEMENT_COUNT - 1 < rows.size(); i += LAST_ELEMENT_COUNT) {
            TaskId task = TaskId.parse(rows.get(i).asText());
            if (task != null) {
                out.put(task, rows.get(i + 1).asLong());
            }
        }
    }

    private static void readSlots(JsonNode node, Map<Long, Map<String, Sum>> out) {
        for (Map.Entry<String, JsonNode> slot : node.properties()) {
            if (slot.getKey().matches("[0-9]{1,12}")) {
                slot.getValue().properties().forEach(row -> out.computeIfAbsent(
                                Long.parseLong(slot.getKey()), k -> new TreeMap<>())
                        .put(row.getKey(), parseSum(row.getValue())));
            }
        }
    }

    private static void readSums(JsonNode node, Map<String, Sum> out) {
        node.properties().forEach(row -> out.put(row.getKey(), parseSum(row.getValue())));
    }

    private static Sum parseSum(JsonNode node) {
        return new Sum(node.path(0).asInt(), node.path(1).asDouble());
    }

    private static Cause parseCause(String name) {
        for (Cause cause : Cause.values()) {
            if (cause.name().equals(name)) {
                return cause;
            }
        }
        return null;
    }
}
