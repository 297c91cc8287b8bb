package org.beechhoist.controller;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.state.Job;
import org.beechhoist.controller.state.Machine;
import org.beechhoist.peer.JobCount;
import org.beechhoist.plan.Plan;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;

/** The views that an operator can request from the leader; truncated to stay within the protocol's size limit. */
final class OperatorViews {
    private static final int MAX_ROWS = 250;

    private OperatorViews() {}

    /** Returns the open jobs with their planned starts, and counters of the search and of features. */
    static ObjectNode plan(Leader leader, long nowMs) {
        ObjectNode out = Codec.map();
        ArrayNode rows = out.putArray("jobs");
        Plan plan = leader.planner().currentPlan();
        for (Job job : leader.clusterState().jobs()) {
            if (rows.size() == MAX_ROWS) {
                break;
            }
            ObjectNode node = rows.addObject()
                    .put("ref", job.id().text())
                    .put("class", job.spec().jobClass())
                    .put("team", job.spec().team())
                    .put("waiting", job.record.waitingCount())
                    .put("placed", job.record.live.size())
                    .put("done", job.record.done.size());
            Long start = plan == null ? null : plan.plannedStart(job.id());
            if (start != null) {
                node.put("startsInS", Math.max(0, (start - nowMs) / 1000.0));
            }
            if (job.record.width != null) {
                node.set("width", job.record.width.toNode());
            }
            if (ElasticWidths.pauseReason(job) != null) {
                node.put("reason", ElasticWidths.pauseReason(job));
            } else if (job.record.failureReason != null) {
                node.put("reason", job.record.failureReason);
            }
        }
        leader.elasticWidths().counts().forEach((name, count) -> out.withObject("/elastic")
                .put(name, count));
        leader.cronController().ifPresent(schedules -> out.set("cron", schedules.counts()));
        return out.put("searchMoves", leader.planner().searchSteps())
                .put("searchKept", leader.planner().searchMovesKept());
    }

    /** Returns the machines with their states. */
    static ObjectNode machines(Leader leader, long nowMs) {
        ObjectNode out = Codec.map();
        ArrayNode rows = out.putArray("hosts");
        for (Machine machine : leader.clusterState().machines()) {
            if (rows.size() == MAX_ROWS) {
                break;
            }
            rows.addObject()
                    .put("host", machine.id.text())
                    .put("type", machine.type)
                    .put("zone", machine.zone)
                    .put("spot", machine.spot)
                    .put("state", machineState(leader, machine))
                    .put("tasks", machine.placements.size())
                    .put("exitedAttempts", machine.exitedAttempts.size())
                    .put(
                            "heardS",
                            machine.lastContactAt == null ? null : (nowMs - machine.lastContactAt.ms()) / 1000.0);
        }
        return out;
    }

    private static String machineState(Leader leader, Machine machine) {
        if (machine.releasing) {
            return "returning";
        }
        if (!machine.up) {
            return "booting";
        }
        return leader.admission().isUsable(machine) ? "usable" : "avoided";
    }

    /** Returns the CPUs that each team with a quota uses and waits for. */
    static ObjectNode teams(Leader leader, Settings settings) {
        Map<String, double[]> sums = new HashMap<>();
        for (Job job : leader.clusterState().jobs()) {
            double[] shares = sums.computeIfAbsent(job.spec().team(), k -> new double[2]);
            shares[0] += job.record.live.size() * job.spec().cpus();
            shares[1] += job.isCancelled()
                    ? 0
                    : job.record.waitingCount() * job.spec().cpus();
        }
        ObjectNode out = Codec.map();
        ArrayNode rows = out.putArray("teams");
        for (Settings.Team team : settings.teams().values()) {
            double[] shares = sums.getOrDefault(team.name(), new double[2]);
            rows.addObject()
                    .put("team", team.name())
                    .put("guaranteedCpus", team.cpus())
                    .put("mostCpus", Double.isInfinite(team.cpusMax()) ? null : team.cpusMax())
                    .put("usedCpus", shares[0])
                    .put("waitingCpus", shares[1]);
        }
        return out;
    }

    /** Replaces the counts of the record by newer ones; a job that has ended or is cancelled keeps its state. */
    static void addProgress(JobCount jobCount, ObjectNode state) {
        String status = state.path("status").asText();
        if (jobCount == null || !(status.equals("queued") || status.equals("running"))) {
            return;
        }
        state.put("done", Math.max(jobCount.done(), state.path("done").asInt()))
                .put("running", jobCount.running())
                .put("status", jobCount.running() > 0 ? "running" : "queued");
    }

    /** Adds the planned start and end of an open job, which only the leader knows, to its state. */
    static void addPlannedTimes(Leader leader, JobId jobId, ObjectNode state, long nowMs) {
        Plan plan = leader.planner().currentPlan();
        Job job = leader.clusterState().job(jobId);
        if (plan == null || job == null) {
            return;
        }
        Long start = plan.plannedStart(jobId);
        if (start != null && state.path("status").asText().equals("queued")) {
            state.put("startsInS", Math.max(0, (start - nowMs) / 1000.0));
        }
        Long end = leader.planner().plannedEnd(job);
        if (end != null) {
            state.put("endsInS", Math.max(0, (end - nowMs) / 1000.0));
        }
    }
}
