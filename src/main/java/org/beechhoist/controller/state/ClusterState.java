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

    private static final int REMEMBERED_ENDED = 2000;

    private final ControllerContext turn;
    private final Settings settings;
    private final Map<JobId, Job> jobs = new LinkedHashMap<>();
    private final Map<MachineId, Machine> hosts = new TreeMap<>();
    /** Jobs whose record the state service does not hold as it is here. */
    private final Set<Job> dirty = new LinkedHashSet<>();
    /** CPU milliseconds that each team has used, by this leadership's knowledge. */
    private final Map<String, Double> teamCpuMs = new HashMap<>();
    /** Jobs whose record, or part of the log, can't be read: only that it is there is known of them. */
    private final Set<JobId> unreadable = new HashSet<>();

    private final Set<JobId> ended = BoundedCollections.added(REMEMBERED_ENDED);
    private MonotonicTime wonAt = MonotonicTime.ZERO;
    private long reign;
    private boolean changed;

    public ClusterState(ControllerContext turn, Settings settings) {
        this.turn = turn;
        this.settings = settings;
    }

    /** Leadership begins or ends: nothing that was known counts any more. */
    public void reset() {
        reign++;
        wonAt = turn.now();
        jobs.clear();
        unreadable.clear();
        hosts.clear();
        dirty.clear();
        teamCpuMs.clear();
    }

    /** When this leadership began. */
    public MonotonicTime wonAt() {
        return wonAt;
    }

    /** Changes with leadership; answers to calls of an earlier one are left alone. */
    public long reign() {
        return reign;
    }

    // ---- jobs ----

    public Collection<Job> jobs() {
        return jobs.values();
    }

    public Job job(JobId ref) {
        return jobs.get(ref);
    }

    void add(Job job) {
        jobs.put(job.ref(), job);
    }

    void remove(Job job) {
        jobs.remove(job.ref());
    }

    /** The job's final state is committed: what the watch still brings of it is old. */
    void ended(Job job) {
        remove(job);
        ended.add(job.ref());
    }

    /** What is stored of the job can't be read: it is left alone, and so are its tasks. */
    void leaveAlone(JobId ref) {
        jobs.remove(ref);
        unreadable.add(ref);
    }

    public boolean unreadable(JobId ref) {
        return unreadable.contains(ref);
    }

    boolean hasEnded(JobId ref) {
        return ended.contains(ref);
    }

    /** Forgets all jobs and what was to be written of them, for they are read anew; hands over what was known. */
    Map<JobId, Job> dropJobs() {
        Map<JobId, Job> old = new HashMap<>(jobs);
        jobs.clear();
        unreadable.clear();
        dirty.clear();
        return old;
    }

    /** The job's record is to be written. */
    public void touch(Job job) {
        if (!job.dirty) {
            job.dirty = true;
            job.dirtySince = turn.now();
            dirty.add(job);
        }
    }

    Collection<Job> dirty() {
        return dirty;
    }

    /** The job's record is on its way to the state service. */
    void sent(Job job) {
        job.dirty = false;
        dirty.remove(job);
        job.inFlight = true;
    }

    // ---- machines ----

    public Collection<Machine> hosts() {
        return hosts.values();
    }

    /** The machine, entered if it was not known. */
    public Machine host(MachineId id) {
        return hosts.computeIfAbsent(id, k -> new Machine(k, turn.now()));
    }

    /** The machine, or null. */
    public Machine known(MachineId id) {
        return hosts.get(id);
    }

    public Machine drop(MachineId id) {
        return hosts.remove(id);
    }

    /** When the worker's lease has certainly run out, whoever answered it last, and whenever its session began. */
    public MonotonicTime lapse(Machine machine) {
        MonotonicTime last =
                machine.lastAnswered == null || machine.lastAnswered.before(wonAt) ? wonAt : machine.lastAnswered;
        last = last.before(machine.sessionHeard) ? machine.sessionHeard : last;
        return last.plusMs((long) (settings.workers().leaseMs() * LEASE_SLACK) + LEASE_MARGIN_MS);
    }

    public MonotonicTime heard(Machine machine) {
        return machine.lastHeard == null || machine.lastHeard.before(wonAt) ? wonAt : machine.lastHeard;
    }

    // ---- teams ----

    public void used(String team, double cpuMs) {
        teamCpuMs.merge(team, cpuMs, Double::sum);
    }

    public Map<String, Double> teamCpuMs() {
        return teamCpuMs;
    }

    /** CPUs and accelerators of each team's tasks that may be on machines. */
    public Map<String, double[]> usedByTeams() {
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
    public void replan() {
        changed = true;
    }

    public boolean changed() {
        return changed;
    }

    public void planned() {
        changed = false;
    }
}
