package org.beechhoist.controller.state;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.BoundedCollections;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MonotonicTime;

/** What the leader holds in memory: the open jobs, the machines, and which jobs the state service does not hold as they are here. */
public final class ClusterState {
    /** Covers the clock drift of two machines and rounding, as a factor of a worker's lease. */
    private static final double LEASE_SLACK = 1.002;

    private static final long LEASE_MARGIN_MS = 1000;

    private static final int MAX_REMEMBERED_ENDED = 2000;

    private final ControllerContext context;
    private final Settings settings;
    private final Map<JobId, Job> jobs = new LinkedHashMap<>();
    private final Map<MachineId, Machine> machines = new TreeMap<>();
    /** Jobs with changes that are still to be written. */
    private final Set<Job> dirtyJobs = new LinkedHashSet<>();
    /** CPU milliseconds that each team has used, as far as is known in this term. */
    private final Map<String, Double> teamCpuMs = new HashMap<>();
    /** Jobs whose record, or whose part of the change log, can't be read: only that they exist is known. */
    private final Set<JobId> unreadableJobs = new HashSet<>();

    private final Set<JobId> endedJobs = BoundedCollections.insertionOrderedSet(MAX_REMEMBERED_ENDED);
    private MonotonicTime termBeganAt = MonotonicTime.ZERO;
    private long term;
    private boolean replanRequested;

    /** Creates an empty state. */
    public ClusterState(ControllerContext context, Settings settings) {
        this.context = context;
        this.settings = settings;
    }

    /** Forgets everything, for a term begins or ends. */
    public void reset() {
        term++;
        termBeganAt = context.now();
        jobs.clear();
        unreadableJobs.clear();
        machines.clear();
        dirtyJobs.clear();
        teamCpuMs.clear();
    }

    /** When this term began. */
    public MonotonicTime termStartedAt() {
        return termBeganAt;
    }

    /** A number that changes when a term begins or ends: results of calls of an earlier one are ignored. */
    public long term() {
        return term;
    }

    // ---- jobs ----

    /** All open jobs that can be read, in the order in which they were added. */
    public Collection<Job> jobs() {
        return jobs.values();
    }

    /** The open job, or null. */
    public Job job(JobId jobId) {
        return jobs.get(jobId);
    }

    void addJob(Job job) {
        jobs.put(job.id(), job);
    }

    void removeJob(Job job) {
        jobs.remove(job.id());
    }

    /** Removes a job whose final state is committed: changes of it that are still watched are out of date. */
    void markEnded(Job job) {
        removeJob(job);
        endedJobs.add(job.id());
    }

    /** Ignores a job whose stored data can't be read; its tasks are ignored too. */
    void ignoreUnreadable(JobId jobId) {
        jobs.remove(jobId);
        unreadableJobs.add(jobId);
    }

    /** Whether the job is ignored, for its stored data can't be read. */
    public boolean isUnreadable(JobId jobId) {
        return unreadableJobs.contains(jobId);
    }

    /** Whether the final state of the job was lately committed by this leader. */
    boolean hasRecentlyEnded(JobId jobId) {
        return endedJobs.contains(jobId);
    }

    /** Removes all jobs and forgets which were to be written, for they are read anew; returns the jobs as they were. */
    Map<JobId, Job> removeAllJobs() {
        Map<JobId, Job> old = new HashMap<>(jobs);
        jobs.clear();
        unreadableJobs.clear();
        dirtyJobs.clear();
        return old;
    }

    /** Notes that the job has changes that are to be written. */
    public void markDirty(Job job) {
        if (!job.dirty) {
            job.dirty = true;
            job.dirtySince = context.now();
            dirtyJobs.add(job);
        }
    }

    /** Jobs with changes that are to be written, in the order in which they were marked. */
    Collection<Job> dirtyJobs() {
        return dirtyJobs;
    }

    /** Notes that the job's changes are being written. */
    void markInFlight(Job job) {
        job.dirty = false;
        dirtyJobs.remove(job);
        job.inFlight = true;
    }

    // ---- machines ----

    /** All known machines, ordered by id. */
    public Collection<Machine> machines() {
        return machines.values();
    }

    /** The machine; it is added if it was not known. */
    public Machine machine(MachineId id) {
        return machines.computeIfAbsent(id, k -> new Machine(k, context.now()));
    }

    /** The machine, or null. */
    public Machine findMachine(MachineId id) {
        return machines.get(id);
    }

    /** Removes the machine and returns it, or null if it was not known. */
    public Machine removeMachine(MachineId id) {
        return machines.remove(id);
    }

    /** When the worker's lease has certainly run out, whichever node answered it last and whenever its epoch began. */
    public MonotonicTime leaseExpiry(Machine machine) {
        MonotonicTime last = machine.lastAnsweredAt == null || machine.lastAnsweredAt.isBefore(termBeganAt)
                ? termBeganAt
                : machine.lastAnsweredAt;
        last = last.isBefore(machine.epochFirstSeenAt) ? machine.epochFirstSeenAt : last;
        return last.plusMs((long) (settings.workers().leaseMs() * LEASE_SLACK) + LEASE_MARGIN_MS);
    }

    /** When the machine was last heard of in this term, or when the term began. */
    public MonotonicTime lastContactAt(Machine machine) {
        return machine.lastContactAt == null || machine.lastContactAt.isBefore(termBeganAt)
                ? termBeganAt
                : machine.lastContactAt;
    }

    // ---- teams ----

    /** Adds CPU milliseconds that the team's tasks have used. */
    public void addTeamUsage(String team, double cpuMs) {
        teamCpuMs.merge(team, cpuMs, Double::sum);
    }

    /** CPU milliseconds that each team has used, as far as is known in this term. */
    public Map<String, Double> teamCpuMs() {
        return teamCpuMs;
    }

    /** The CPUs and GPUs of each team's tasks that may be on machines. */
    public Map<String, double[]> teamResourceUsage() {
        Map<String, double[]> used = new HashMap<>();
        for (Job job : jobs.values()) {
            double[] usage = used.computeIfAbsent(job.spec().team(), k -> new double[2]);
            usage[0] += job.record.live.size() * job.spec().cpus();
            usage[1] += job.record.live.size() * job.spec().gpus();
        }
        return used;
    }

    // ---- planning ----

    /** Requests a new plan, for something has changed that it should consider. */
    public void requestReplan() {
        replanRequested = true;
    }

    /** Whether a new plan has been requested since the last one. */
    public boolean replanRequested() {
        return replanRequested;
    }

    /** Notes that a new plan has been made. */
    public void markReplanned() {
        replanRequested = false;
    }
}
