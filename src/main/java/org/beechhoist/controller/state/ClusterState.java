package org.beechhoist.core;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.beechhoist.config.Settings;
import org.beechhoist.wire.HostId;
import org.beechhoist.wire.JobRef;
import org.beechhoist.wire.Tick;

/** What the leader knows: the open jobs, the machines, and what of it the state service does not hold yet. */
final class Book {
    /** Clock drift of two machines and rounding, on top of a worker's lease. */
    private static final double LEASE_SLACK = 1.002;

    private static final long LEASE_MARGIN_MS = 1000;

    private static final int REMEMBERED_ENDED = 2000;

    private final Turn turn;
    private final Settings settings;
    private final Map<JobRef, Job> jobs = new LinkedHashMap<>();
    private final Map<HostId, Host> hosts = new TreeMap<>();
    /** Jobs whose record the state service does not hold as it is here. */
    private final Set<Job> dirty = new LinkedHashSet<>();
    /** CPU milliseconds that each team has used, by this leadership's knowledge. */
    private final Map<String, Double> teamCpuMs = new HashMap<>();
    /** Jobs whose record, or part of the log, can't be read: only that it is there is known of them. */
    private final Set<JobRef> unreadable = new HashSet<>();

    private final Set<JobRef> ended = Recent.added(REMEMBERED_ENDED);
    private Tick wonAt = Tick.ZERO;
    private long reign;
    private boolean changed;

    Book(Turn turn, Settings settings) {
        this.turn = turn;
        this.settings = settings;
    }

    /** Leadership begins or ends: nothing that was known counts any more. */
    void reset() {
        reign++;
        wonAt = turn.now();
        jobs.clear();
        unreadable.clear();
        hosts.clear();
        dirty.clear();
        teamCpuMs.clear();
    }

    /** When this leadership began. */
    Tick wonAt() {
        return wonAt;
    }

    /** Changes with leadership; answers to calls of an earlier one are left alone. */
    long reign() {
        return reign;
    }

    // ---- jobs ----

    Collection<Job> jobs() {
        return jobs.values();
    }

    Job job(JobRef ref) {
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
    void leaveAlone(JobRef ref) {
        jobs.remove(ref);
        unreadable.add(ref);
    }

    boolean unreadable(JobRef ref) {
        return unreadable.contains(ref);
    }

    boolean hasEnded(JobRef ref) {
        return ended.contains(ref);
    }

    /** Forgets all jobs and what was to be written of them, for they are read anew; hands over what was known. */
    Map<JobRef, Job> dropJobs() {
        Map<JobRef, Job> old = new HashMap<>(jobs);
        jobs.clear();
        unreadable.clear();
        dirty.clear();
        return old;
    }

    /** The job's record is to be written. */
    void touch(Job job) {
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

    Collection<Host> hosts() {
        return hosts.values();
    }

    /** The machine, entered if it was not known. */
    Host host(HostId id) {
        return hosts.computeIfAbsent(id, k -> new Host(k, turn.now()));
    }

    /** The machine, or null. */
    Host known(HostId id) {
        return hosts.get(id);
    }

    Host drop(HostId id) {
        return hosts.remove(id);
    }

    /** When the worker's lease has certainly run out, whoever answered it last, and whenever its session began. */
    Tick lapse(Host machine) {
        Tick last = machine.lastAnswered == null || machine.lastAnswered.before(wonAt) ? wonAt : machine.lastAnswered;
        last = last.before(machine.sessionHeard) ? machine.sessionHeard : last;
        return last.plusMs((long) (settings.workers().leaseMs() * LEASE_SLACK) + LEASE_MARGIN_MS);
    }

    Tick heard(Host machine) {
        return machine.lastHeard == null || machine.lastHeard.before(wonAt) ? wonAt : machine.lastHeard;
    }

    // ---- teams ----

    void used(String team, double cpuMs) {
        teamCpuMs.merge(team, cpuMs, Double::sum);
    }

    Map<String, Double> teamCpuMs() {
        return teamCpuMs;
    }

    /** CPUs and accelerators of each team's tasks that may be on machines. */
    Map<String, double[]> usedByTeams() {
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
    void replan() {
        changed = true;
    }

    boolean changed() {
        return changed;
    }

    void planned() {
        changed = false;
    }
}
