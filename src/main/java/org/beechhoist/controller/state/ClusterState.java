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

/** The state that the leader holds in memory: open jobs, machines, and the jobs with changes that are not yet written to the state service. */
public final class ClusterState {
    /** Factor on a worker's lease that covers rounding and the clock drift between two machines. */
    private static final double LEASE_DRIFT_FACTOR = 1.002;

    private static final long LEASE_MARGIN_MS = 1000;

    private static final int MAX_ENDED_JOB_COUNT = 2000;

    private final ControllerContext context;
    private final Settings settings;
    private final Map<JobId, Job> jobs = new LinkedHashMap<>();
    private final Map<MachineId, Machine> machines = new TreeMap<>();
    /** Jobs with changes that are still to be written. */
    private final Set<Job> dirtyJobs = new LinkedHashSet<>();
    /** CPU milliseconds used by each team in this term, as far as known. */
    private final Map<String, Double> teamCpuMs = new HashMap<>();
    /** Jobs whose record or change log entries can't be read; only their ids are known. */
    private final Set<JobId> unreadableJobs = new HashSet<>();

    private final Set<JobId> endedJobs = BoundedCollections.insertionOrderedSet(MAX_ENDED_JOB_COUNT);
    private MonotonicTime termBeganAt = MonotonicTime.ZERO;
    private long term;
    private boolean replanRequested;

    /** Creates an empty state. */
    public ClusterState(ControllerContext context, Settings settings) {
        this.context = context;
        this.settings = settings;
    }

    /** Clears the state of the previous term; called when a term begins or ends. */
    public void reset() {
        term++;
        termBeganAt = context.now();
        jobs.clear();
        unreadableJobs.clear();
        machines.clear();
        dirtyJobs.clear();
        teamCpuMs.clear();
    }

    /** Returns the time at which this term began. */
    public MonotonicTime termStartedAt() {
        return termBeganAt;
    }

    /** Returns a number that changes when a term begins or ends; results of calls from an earlier term are ignored. */
    public long term() {
        return term;
    }

    // ---- jobs ----

    /** Returns all readable open jobs in the order in which they were added. */
    public Collection<Job> jobs() {
        return jobs.values();
    }

    /** Returns the open job with this id, or null. */
    public Job job(JobId jobId) {
        return jobs.get(jobId);
    }

    void addJob(Job job) {
        jobs.put(job.id(), job);
    }

    void removeJob(Job job) {
        jobs.remove(job.id());
    }

    /** Removes a job whose final state is committed; later watch events for it are outdated and ignored. */
    void markEnded(Job job) {
        removeJob(job);
        endedJobs.add(job.id());
    }

    /** Marks a job as unreadable; the job and its tasks are ignored from now on. */
    void ignoreUnreadable(JobId jobId) {
        jobs.remove(jobId);
        unreadableJobs.add(jobId);
    }

    /** Returns whether the job is ignored because its stored data can't be read. */
    public boolean isUnreadable(JobId jobId) {
        return unreadableJobs.contains(jobId);
    }

    /** Returns whether this leader has recently committed the final state of the job. */
    boolean hasRecentlyEnded(JobId jobId) {
        return endedJobs.contains(jobId);
    }

    /** Removes all jobs and pending writes before the records are read again; returns the removed jobs. */
    Map<JobId, Job> removeAllJobs() {
        Map<JobId, Job> old = new HashMap<>(jobs);
        jobs.clear();
        unreadableJobs.clear();
        dirtyJobs.clear();
        return old;
    }

    /** Marks the job as having changes to be written. */
    public void markDirty(Job job) {
        if (!job.dirty) {
            job.dirty = true;
            job.dirtySince = context.now();
            dirtyJobs.add(job);
        }
    }

    /** Returns the jobs with changes to be written, in the order in which they were marked. */
    Collection<Job> dirtyJobs() {
        return dirtyJobs;
    }

    /** Marks the job's changes as being written. */
    void markInFlight(Job job) {
        job.dirty = false;
        dirtyJobs.remove(job);
        job.inFlight = true;
    }

    // ---- machines ----

    /** Returns all known machines, ordered by id. */
    public Collection<Machine> machines() {
        return machines.values();
    }

    /** Returns the machine with this id, adding it if it is unknown. */
    public Machine machine(MachineId id) {
        return machines.computeIfAbsent(id, k -> new Machine(k, context.now()));
    }

    /** Returns the machine with this id, or null. */
    public Machine findMachine(MachineId id) {
        return machines.get(id);
    }

    /** Removes the machine and returns it, or null if it was not known. */
    public Machine removeMachine(MachineId id) {
        return machines.remove(id);
    }

    /** Returns the time by which the worker's lease has expired, regardless of which node answered it last and when its epoch began. */
    public MonotonicTime leaseExpiry(Machine machine) {
        MonotonicTime last = machine.lastAnsweredAt == null || machine.lastAnsweredAt.isBefore(termBeganAt)
                ? termBeganAt
                : machine.lastAnsweredAt;
        last = last.isBefore(machine.epochFirstSeenAt) ? machine.epochFirstSeenAt : last;
        return last.plusMs((long) (settings.workers().leaseMs() * LEASE_DRIFT_FACTOR) + LEASE_MARGIN_MS);
    }

    /** Returns the time of the last contact with the machine in this term, or the start of the term if there was none. */
    public MonotonicTime lastContactAt(Machine machine) {
        return machine.lastContactAt == null || machine.lastContactAt.isBefore(termBeganAt)
                ? termBeganAt
                : machine.lastContactAt;
    }

    // ---- teams ----

    /** Adds CPU milliseconds used by the team's tasks. */
    public void addTeamUsage(String team, double cpuMs) {
        teamCpuMs.merge(team, cpuMs, Double::sum);
    }

    /** Returns the CPU milliseconds used by each team in this term, as far as known. */
    public Map<String, Double> teamCpuMs() {
        return teamCpuMs;
    }

    /** Returns, for each team, the CPUs and GPUs of its tasks that may be on machines. */
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

    /** Requests a new plan because of a change that affects planning. */
    public void requestReplan() {
        replanRequested = true;
    }

    /** Returns whether a new plan has been requested since the last one was made. */
    public boolean replanRequested() {
        return replanRequested;
    }

    /** Clears the request for a new plan; called once the plan has been made. */
    public void markReplanned() {
        replanRequested = false;
    }
}
