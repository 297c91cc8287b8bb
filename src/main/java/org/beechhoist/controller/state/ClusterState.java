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

/** What the leader knows: the open jobs, the machines, and what of it the state service does not hold yet. */
public final class ClusterState {
    /** Clock drift of two machines and rounding, on top of a worker's lease. */
    private static final double LEASE_SLACK = 1.002;

    private static final long LEASE_MARGIN_MS = 1000;

    private static final int MAX_REMEMBERED_ENDED = 2000;

    private final ControllerContext context;
    private final Settings settings;
    private final Map<JobId, Job> jobs = new LinkedHashMap<>();
    private final Map<MachineId, Machine> machines = new TreeMap<>();
    /** Jobs whose record the state service does not hold as it is here. */
    private final Set<Job> dirtyJobs = new LinkedHashSet<>();
    /** CPU milliseconds that each team has used, by this leadership's knowledge. */
    private final Map<String, Double> teamCpuMs = new HashMap<>();
    /** Jobs whose record, or part of the log, can't be read: only that it is there is known of them. */
    private final Set<JobId> isUnreadable = new HashSet<>();

    private final Set<JobId> markEnded = BoundedCollections.insertionOrderedSet(MAX_REMEMBERED_ENDED);
    private MonotonicTime termBeganAt = MonotonicTime.ZERO;
    private long term;
    private boolean replanRequested;

    public ClusterState(ControllerContext context, Settings settings) {
        this.context = context;
        this.settings = settings;
    }

    /** Leadership begins or ends: nothing that was known counts any more. */
    public void reset() {
        term++;
        termBeganAt = context.now();
        jobs.clear();
        isUnreadable.clear();
        machines.clear();
        dirtyJobs.clear();
        teamCpuMs.clear();
    }

    /** When this leadership began. */
    public MonotonicTime termBeganAt() {
        return termBeganAt;
    }

    /** Changes with leadership; answers to calls of an earlier one are left alone. */
    public long term() {
        return term;
    }

    // ---- jobs ----

    public Collection<Job> jobs() {
        return jobs.values();
    }

    public Job job(JobId jobId) {
        return jobs.get(jobId);
    }

    void addJob(Job job) {
        jobs.put(job.id(), job);
    }

    void removeJob(Job job) {
        jobs.remove(job.id());
    }

    /** The job's final state is committed: what the watch still brings of it is old. */
    void markEnded(Job job) {
        removeJob(job);
        markEnded.add(job.id());
    }

    /** What is stored of the job can't be read: it is left alone, and so are its tasks. */
    void ignoreUnreadable(JobId jobId) {
        jobs.remove(jobId);
        isUnreadable.add(jobId);
    }

    public boolean isUnreadable(JobId jobId) {
        return isUnreadable.contains(jobId);
    }

    boolean hasEnded(JobId jobId) {
        return markEnded.contains(jobId);
    }

    /** Forgets all jobs and what was to be written of them, for they are read anew; hands over what was known. */
    Map<JobId, Job> takeAllJobs() {
        Map<JobId, Job> old = new HashMap<>(jobs);
        jobs.clear();
        isUnreadable.clear();
        dirtyJobs.clear();
        return old;
    }

    /** The job's record is to be written. */
    public void markDirty(Job job) {
        if (!job.dirty) {
            job.dirty = true;
            job.dirtySince = context.now();
            dirtyJobs.add(job);
        }
    }

    Collection<Job> dirtyJobs() {
        return dirtyJobs;
    }

    /** The job's record is on its way to the state service. */
    void markInFlight(Job job) {
        job.dirty = false;
        dirtyJobs.remove(job);
        job.inFlight = true;
    }

    // ---- machines ----

    public Collection<Machine> machines() {
        return machines.values();
    }

    /** The machine, entered if it was not known. */
    public Machine machine(MachineId id) {
        return machines.computeIfAbsent(id, k -> new Machine(k, context.now()));
    }

    /** The machine, or null. */
    public Machine findMachine(MachineId id) {
        return machines.get(id);
    }

    public Machine removeMachine(MachineId id) {
        return machines.remove(id);
    }

    /** When the worker's lease has certainly run out, whoever answered it last, and whenever its session began. */
    public MonotonicTime leaseExpiry(Machine machine) {
        MonotonicTime last = machine.lastAnsweredAt == null || machine.lastAnsweredAt.isBefore(termBeganAt)
                ? termBeganAt
                : machine.lastAnsweredAt;
        last = last.isBefore(machine.epochFirstHeardAt) ? machine.epochFirstHeardAt : last;
        return last.plusMs((long) (settings.workers().leaseMs() * LEASE_SLACK) + LEASE_MARGIN_MS);
    }

    public MonotonicTime lastHeardOf(Machine machine) {
        return machine.lastHeardAt == null || machine.lastHeardAt.isBefore(termBeganAt)
                ? termBeganAt
                : machine.lastHeardAt;
    }

    // ---- teams ----

    public void addTeamUsage(String team, double cpuMs) {
        teamCpuMs.merge(team, cpuMs, Double::sum);
    }

    public Map<String, Double> teamCpuMs() {
        return teamCpuMs;
    }

    /** CPUs and accelerators of each team's tasks that may be on machines. */
    public Map<String, double[]> teamUsage() {
        Map<String, double[]> used = new HashMap<>();
        for (Job job : jobs.values()) {
            double[] usage = used.computeIfAbsent(job.spec().team(), k -> new double[2]);
            usage[0] += job.record.live.size() * job.spec().cpus();
            usage[1] += job.record.live.size() * job.spec().gpus();
        }
        return used;
    }

    // ---- the plan's age ----

    /** Something happened that a new plan should know. */
    public void requestReplan() {
        replanRequested = true;
    }

    public boolean replanRequested() {
        return replanRequested;
    }

    public void replanDone() {
        replanRequested = false;
    }
}
