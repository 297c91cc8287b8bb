package org.beechhoist.core;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.beechhoist.store.JobRecord;
import org.beechhoist.wire.HostId;
import org.beechhoist.wire.JobRef;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.Revision;
import org.beechhoist.wire.Tick;

/** An open job in the leader's book. */
final class Job {
    final JobRecord record;
    Revision version;
    /** Chunks as last committed, to write only what changed. */
    Map<String, ArrayNode> chunks = new HashMap<>();
    boolean dirty;
    Tick dirtySince = Tick.ZERO;
    boolean inFlight;
    /** Placements that no transaction holds yet: their launches wait for one. */
    int uncommitted;
    /** Chosen from the time of day the job was accepted. */
    final Tick submitted;
    Tick notBefore = Tick.ZERO;
    Tick nextPreemption = Tick.ZERO;
    final Set<HostId> failedOn = new HashSet<>();
    Tick lastProgress;
    /** Whether it fits into its team's guarantee together with the team's earlier open jobs. */
    boolean guaranteed;

    Job(JobRecord record, Revision version, Tick submitted) {
        this.record = record;
        this.version = version;
        this.submitted = submitted;
        this.lastProgress = submitted;
    }

    JobRef ref() {
        return record.spec.ref();
    }

    JobSpec spec() {
        return record.spec;
    }

    /** Whether its tasks may have the other job's stopped. */
    boolean outranks(Job other) {
        int urgency = spec().urgency().compareTo(other.spec().urgency());
        boolean borrowed = !other.guaranteed && !other.spec().team().equals(spec().team());
        // A guarantee could take back borrowed machines from more urgent work too, but that work waits worst.
        return urgency < 0 || (urgency == 0 && guaranteed && borrowed);
    }

    /** Whether what the leader holds of it is what the state service holds. */
    boolean settled() {
        return !dirty && !inFlight;
    }
}
