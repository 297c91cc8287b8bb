package org.beechhoist.controller.state;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.beechhoist.elastic.Ending;
import org.beechhoist.keyset.Verdict;
import org.beechhoist.release.Release;
import org.beechhoist.store.CommittedTasks;
import org.beechhoist.store.JobRecord;
import org.beechhoist.store.Placement;
import org.beechhoist.store.StoreClient;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.Revision;

/** An open job in the leader's book. */
public final class Job {
    private static final int SUSPECT_MACHINES = 2;
    private static final int SUSPECT_FAILURES = 3;
    /** Failures that an earlier leader counted, on machines that nobody knows any more. */
    private static final int SUSPECT_BEFORE = 8;

    public final JobRecord record;
    Revision version;
    /** Chunks as last committed, to write only what changed. */
    Map<String, ArrayNode> chunks = new HashMap<>();

    boolean dirty;
    MonotonicTime dirtySince = MonotonicTime.ZERO;
    public boolean inFlight;
    /** What the watch brought of the record while a commit of the job was on its way, or null. */
    StoreClient.KeyValue news;
    /** When its cancellation was committed, where that was heard before the record told; 0: it was not. */
    public long cancelHeardMs;
    /** Placements that no transaction holds yet: their launches wait for one. */
    public int uncommitted;
    /** Chosen from the time of day the job was accepted. */
    public final MonotonicTime submitted;

    public MonotonicTime notBefore = MonotonicTime.ZERO;
    public MonotonicTime nextPreemption = MonotonicTime.ZERO;
    public MonotonicTime nextNarrowing = MonotonicTime.ZERO;
    /** Tasks that are to go, and how; most are not stopped yet. */
    public final Map<Placement, Ending> leaving = new LinkedHashMap<>();
    /** The width that the state service holds. */
    public int committedWidth;
    /** Failures that the record in the state service counts. */
    int storedFailures;
    /** Its tasks as the state service holds them, by record and log. */
    CommittedTasks stored;
    /** The same by the record alone. */
    CommittedTasks recorded;

    public final Set<MachineId> failedOn = new HashSet<>();
    /** Failures since it was first thought to be submitted with a mistake. */
    public int trials;

    public MonotonicTime lastProgress;
    /** Whether it fits into its team's guarantee together with the team's earlier open jobs. */
    public boolean guaranteed;
    /** Whether it goes first, for its class, its team or its class's largest are below their half. */
    public boolean lifted;
    /** So many of its tasks are to begin before others' do, for nothing of it has begun for long; none is to be stopped while it is {@link #aged}. */
    public int firstUpTo;

    public boolean aged;
    /** Why nothing of it may start, and perhaps nothing run: its key set; null: nothing stands against it. */
    public Verdict hold;

    public long heldSinceMs;
    /** What of the release calendar it counts for, as of the last plan, or null. */
    public Release release;
    /** What it counts for: its class, its team, and its class's largest; null until it is first asked. */
    public Set<String> groups;
    /** Whether it is left behind under overload, so that others are in time. */
    public boolean behind;

    Job(JobRecord record, Revision version, MonotonicTime submitted) {
        this.record = record;
        this.version = version;
        this.submitted = submitted;
        this.lastProgress = submitted;
        this.committedWidth = width();
        this.storedFailures = record.failures;
        this.stored = CommittedTasks.of(record);
        this.recorded = CommittedTasks.of(record);
        this.hold = record.spec.pin() == null ? null : Verdict.NOT_KNOWN;
    }

    public JobId ref() {
        return record.spec.ref();
    }

    public JobSpec spec() {
        return record.spec;
    }

    /** The width that was decided; without one, any number of its tasks may be live. */
    public int width() {
        return record.width == null ? Integer.MAX_VALUE : record.width.target();
    }

    /** Whether its tasks may have the other job's stopped. */
    public boolean outranks(Job other) {
        if (other.lifted || other.aged) {
            return false; // it would be lifted again, and stopped again
        }
        int urgency = spec().urgency().compareTo(other.spec().urgency());
        boolean borrowed = !other.guaranteed && !other.spec().team().equals(spec().team());
        // A guarantee could take back borrowed machines from more urgent work too, but that work waits worst.
        return urgency < 0 || (urgency == 0 && guaranteed && borrowed);
    }

    /**
     * Whether it may have been submitted with a mistake: several tasks failed, on more than one machine as far as this leader
     * saw them, and none is done. It is tried with one task at a time then, and nobody makes room or rents for it.
     */
    public boolean suspect() {
        return record.done.size() == 0
                && (failedOn.size() >= SUSPECT_MACHINES && record.failures >= SUSPECT_FAILURES
                        || record.failures >= SUSPECT_BEFORE);
    }

    /** Whether it is held: nothing of it may run. */
    public boolean held() {
        return hold != null && hold.held();
    }

    /** Tasks of it that go first now. */
    public int firstPart() {
        return Math.max(0, firstUpTo - record.live.size() - record.done.size());
    }

    /** Whether something of it has begun. */
    public boolean begun() {
        return !record.live.isEmpty() || record.done.size() > 0;
    }

    /** How many of its tasks may be placed now beside those that are. */
    public int mayTry(int waiting) {
        return suspect() ? Math.min(waiting, record.live.isEmpty() ? 1 : 0) : waiting;
    }

    /** Whether its cancellation is committed, as far as is known: by its record, or by who heard of it first. */
    public boolean cancelled() {
        return record.cancelled() || cancelHeardMs > 0;
    }

    /** When that was, by the time of day. */
    public long cancelledAtMs() {
        return record.cancelled() ? record.cancelWallMs : cancelHeardMs;
    }

    /** Whether its record has changed since it was read, as is known: a commit under the version that was read would fail. */
    boolean overtaken() {
        return cancelHeardMs > 0 && !record.cancelled();
    }

    /** What it is called once nothing of it is live. */
    String finalState() {
        return record.cancelled() ? "cancelled" : "done";
    }

    /** Whether what the leader holds of it is what the state service holds. */
    public boolean settled() {
        return !dirty && !inFlight;
    }
}
