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
 * What of one team's work was disturbed: tasks that are away on purpose, when each was last disturbed on purpose, and tasks and CPU
 * seconds by class and cause, of the last hour and of all before. Kept in the state service, {@code dr/acct/TEAM}.
 */
public final class Account {
    private static final long HOUR_MS = 3_600_000;
    private static final long SLOT_MS = 300_000;
    /** What one record can hold beside its sums. */
    private static final int MOST_REMEMBERED = 100;
    /** Classes that are told apart; what comes beyond is counted together. */
    private static final int MOST_CLASSES = 10;

    private static final String OTHERS = "others";

    /** A task that was stopped on purpose and does not run again yet; {@code attempt} is the one that was stopped. */
    public record Away(long attempt, String jobClass, Cause cause, double lostCpuS, long atMs) {}

    /** Tasks and CPU seconds. */
    public record Sum(int tasks, double cpuS) {
        Sum plus(int count, double seconds) {
            return new Sum(tasks + count, cpuS + seconds);
        }
    }

    private final Map<TaskId, Away> away = new HashMap<>();
    private final Map<TaskId, Long> last = new HashMap<>();
    /** By slot of five minutes, then by class and cause. */
    private final TreeMap<Long, Map<String, Sum>> slots = new TreeMap<>();

    private final Map<String, Sum> before = new TreeMap<>();

    public Account copy() {
        Account account = new Account();
        account.away.putAll(away);
        account.last.putAll(last);
        slots.forEach((slot, sums) -> account.slots.put(slot, new TreeMap<>(sums)));
        account.before.putAll(before);
        return account;
    }

    private static String row(String jobClass, Cause cause) {
        return jobClass + " " + cause.name();
    }

    private String toldApart(String jobClass) {
        Set<String> classes = new HashSet<>();
        sums().keySet().forEach(k -> classes.add(k.substring(0, k.indexOf(' '))));
        return classes.contains(jobClass) || classes.size() < MOST_CLASSES ? jobClass : OTHERS;
    }

    /** Takes less room: all of the hour counts as of its newest slot, so that it counts for longer. */
    public void shrink() {
        if (slots.size() > 1) {
            Map<String, Sum> newest = slots.lastEntry().getValue();
            long at = slots.lastKey();
            slots.headMap(at)
                    .values()
                    .forEach(m -> m.forEach((k, s) -> newest.merge(k, s, (x, y) -> x.plus(y.tasks, y.cpuS))));
            slots.headMap(at).clear();
        }
    }

    /** One task was disturbed. */
    public void charge(TaskId task, Away absence) {
        slots.computeIfAbsent(absence.atMs / SLOT_MS, k -> new TreeMap<>())
                .merge(
                        row(toldApart(absence.jobClass), absence.cause),
                        new Sum(1, absence.lostCpuS),
                        (x, y) -> x.plus(y.tasks, y.cpuS));
        if (absence.cause.onPurpose()) {
            away.put(task, absence);
            last.put(task, absence.atMs);
        }
    }

    /** It runs again, or never will. */
    public void back(TaskId task) {
        away.remove(task);
    }

    /** It was never stopped: what it was charged is given back. */
    public void undo(TaskId task) {
        Away absence = away.remove(task);
        if (absence == null) {
            return;
        }
        last.remove(task);
        String row = row(toldApart(absence.jobClass), absence.cause);
        Map<String, Sum> in = before;
        for (Map<String, Sum> slot : slots.tailMap(absence.atMs / SLOT_MS).values()) {
            in = in == before && slot.containsKey(row)
                    ? slot
                    : in; // its own slot, or the one that this was folded into
        }
        in.computeIfPresent(row, (k, s) -> s.tasks > 1 ? s.plus(-1, -absence.lostCpuS) : null);
    }

    public Map<TaskId, Away> away() {
        return Map.copyOf(away);
    }

    public boolean isAway(TaskId task) {
        return away.containsKey(task);
    }

    /** What is older than an hour is folded into sums; what need not be known of single tasks any more is forgotten. */
    public void fold(long nowMs) {
        while (!slots.isEmpty() && (slots.firstKey() + 1) * SLOT_MS < nowMs - HOUR_MS) {
            slots.pollFirstEntry().getValue().forEach((k, s) -> before.merge(k, s, (x, y) -> x.plus(y.tasks, y.cpuS)));
        }
        last.values().removeIf(at -> nowMs - at > 1000 * DisruptionBudget.MOST_AGAIN_S);
    }

    /** Of the last hour, of one class or of all. */
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

    /** All that there was, by class and cause. */
    public Map<String, Sum> sums() {
        Map<String, Sum> out = new TreeMap<>(before);
        slots.values().forEach(slot -> slot.forEach((k, s) -> out.merge(k, s, (x, y) -> x.plus(y.tasks, y.cpuS))));
        return out;
    }

    /** One task that is to be disturbed. */
    public record Ask(TaskId task, String jobClass, boolean service, int replicas, double lostCpuS) {}

    /** Why the budget refuses it now, with when that ends where it can be told; null: it may be disturbed. */
    public String refuses(DisruptionBudget budget, Ask ask, long nowMs) {
        String whose = "budget of " + budget.key() + ": ";
        if (budget.atOnce() == 0) {
            return whose + "none of its tasks may be disturbed";
        }
        if (ask.service && budget.mayBeAway(ask.replicas) == 0) {
            return whose + "of " + ask.replicas + " replicas none may be away";
        }
        long out = away.entrySet().stream()
                .filter(e -> budget.jobClass() == null || budget.jobClass().equals(e.getValue().jobClass))
                .count();
        if (out >= budget.atOnce()) {
            return whose + out + " of " + budget.atOnce() + " tasks are away";
        }
        if (away.size() >= MOST_REMEMBERED || last.size() >= MOST_REMEMBERED && !last.containsKey(ask.task)) {
            return whose + "more tasks than can be remembered were disturbed in the last hour";
        }
        if (ask.service
                && away.keySet().stream()
                                .filter(t -> t.job().equals(ask.task.job()))
                                .count()
                        >= budget.mayBeAway(ask.replicas)) {
            return whose + "a replica of " + ask.task.job() + " is away";
        }
        Long before = last.get(ask.task);
        if (before != null && nowMs - before < 1000 * budget.againS()) {
            return whose + ask.task + " was disturbed " + (nowMs - before) / 1000 + " s ago, again in "
                    + (budget.againS() - (nowMs - before) / 1000) + " s";
        }
        Sum hour = lastHour(budget.jobClass(), nowMs);
        if (ask.lostCpuS > 0 && hour.cpuS + ask.lostCpuS > budget.lostCpuSPerHour()) {
            long frees = slots.isEmpty() ? 0 : ((slots.firstKey() + 1) * SLOT_MS + HOUR_MS - nowMs) / 1000;
            return whose + Math.round(hour.cpuS) + " of " + Math.round(budget.lostCpuSPerHour())
                    + " CPU s of the hour are lost, less in " + Math.max(0, frees) + " s";
        }
        return null;
    }

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
        last.forEach((t, at) -> times.add(t.toString()).add(at));
        ObjectNode hour = node.putObject("hour");
        slots.forEach((slot, sums) -> sums.forEach(
                (k, s) -> hour.withObject("/" + slot).putArray(k).add(s.tasks).add(Math.round(s.cpuS))));
        ObjectNode old = node.putObject("before");
        before.forEach((k, s) -> old.putArray(k).add(s.tasks).add(Math.round(s.cpuS)));
        return node;
    }

    /** What can't be read of it is left out: an account that forgets a charge is better than none. */
    public static Account parse(JsonNode node) {
        Account out = new Account();
        JsonNode rows = node.path("away");
        for (int i = 0; i + 5 < rows.size(); i += 6) {
            TaskId task = TaskId.parse(rows.get(i).asText());
            Cause cause = cause(rows.get(i + 3).asText());
            if (task != null && cause != null) {
                out.away.put(
                        task,
                        new Away(
                                rows.get(i + 1).asLong(),
                                rows.get(i + 2).asText(),
                                cause,
                                rows.get(i + 4).asDouble(),
                                rows.get(i + 5).asLong()));
            }
        }
        for (int i = 0; i + 1 < node.path("last").size(); i += 2) {
            TaskId task = TaskId.parse(node.path("last").get(i).asText());
            if (task != null) {
                out.last.put(task, node.path("last").get(i + 1).asLong());
            }
        }
        for (Map.Entry<String, JsonNode> slot : node.path("hour").properties()) {
            if (slot.getKey().matches("[0-9]{1,12}")) {
                slot.getValue().properties().forEach(entry -> out.slots
                        .computeIfAbsent(Long.parseLong(slot.getKey()), k -> new TreeMap<>())
                        .put(
                                entry.getKey(),
                                new Sum(
                                        entry.getValue().path(0).asInt(),
                                        entry.getValue().path(1).asDouble())));
            }
        }
        node.path("before")
                .properties()
                .forEach(entry -> out.before.put(
                        entry.getKey(),
                        new Sum(
                                entry.getValue().path(0).asInt(),
                                entry.getValue().path(1).asDouble())));
        return out;
    }

    private static Cause cause(String name) {
        for (Cause cause : Cause.values()) {
            if (cause.name().equals(name)) {
                return cause;
            }
        }
        return null;
    }
}
