package org.beechhoist.controller.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.elastic.GrowthBackoff;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.Heartbeat;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.MachineType;
import org.beechhoist.wire.MonotonicTime;
import org.beechhoist.wire.TaskId;
import org.beechhoist.wire.WorkerCommand;

/** What the leader knows of one machine and its worker. */
public final class Machine {
    /** The machine's id. */
    public final MachineId id;
    /** The worker's address. */
    public String address;
    /** The name of the machine type; null: not known yet. */
    public String type;
    /** The zone that it is in. */
    public String zone;
    /** Whether it is a spot machine. */
    public boolean spot;

    /** The epoch of the worker's newest message. */
    public long epoch;
    /** The sequence number of the worker's newest message. */
    public long sequence;
    /** When the worker's epoch was first heard of: its lease can have begun as late as that, even if nothing was answered. */
    public MonotonicTime epochFirstSeenAt = MonotonicTime.ZERO;
    /** When the newest message of the worker arrived; a heartbeat that is older can be no more than a copy. */
    public MonotonicTime newestMessageAt = MonotonicTime.ZERO;
    /** Whether its newest message is a heartbeat that was answered with 200. */
    public boolean newestMessageAnswered;
    /** Whether a command or probe since its newest message had no answer: the worker may have counted it all the same. */
    public boolean callsUnanswered;
    /** Whether messages reach it; messages from it do not prove that. */
    public MachineReachability reachability;
    /** Whether it is known to exist: the cloud has listed or rented it, or it has answered in this term. A heartbeat may be a copy. */
    public boolean confirmedPresent;
    /** A heartbeat that has seen no newer token than this may be of a previous incarnation: an earlier worker of the same name. */
    public FencingToken previousIncarnationToken = FencingToken.NONE;
    /** The newest heartbeat sent to {@code /checkin}: only these prove that a task is absent. */
    public Heartbeat lastHeartbeat;

    /** When it was last heard of, or null; an old heartbeat does not count while probes of it are unanswered. */
    public MonotonicTime lastContactAt;
    /** When this node last answered a heartbeat with 200, or null; the worker's lease can't begin later. */
    public MonotonicTime lastAnsweredAt;
    /** When the cloud takes it, by its preemption notice; null: no notice was given. */
    public MonotonicTime preemptionAt;
    /** The drain that empties it, or null; nothing new is placed there. */
    public String cordonedBy;
    /** The drain for whose rolling replacement it is reserved, or null; a reserved machine is not returned for being idle. */
    public String reservedForDrain;

    /** Placements by which tasks may be on it, from the records. */
    public final Map<TaskId, Placement> placements = new HashMap<>();
    /** The number of unknown tasks: running tasks that no record explains. */
    public int unknownTasks;
    /** The number of placements of earlier terms that its newest heartbeat neither shows nor proves to be gone. */
    public int unconfirmedPlacements;

    /** The number of command messages sent straight to the worker that are not answered yet. */
    public int commandsInFlight;
    /** A launch without an answer that was sent with this token or a lower one may still be executed, minutes late. */
    public FencingToken unacknowledgedToken = FencingToken.NONE;

    /** Commands that are to be sent to the worker. */
    public final List<WorkerCommand> outbox = new ArrayList<>();

    /** Whether it is being returned to the cloud. */
    public boolean releasing;
    /** The time of day by which a task on it must have ended. */
    public long stopDeadlineMs = Long.MAX_VALUE;
    /** Whether the cloud was asked to end it and has not answered yet. */
    public boolean releaseInFlight;
    /** Whether it was asked for its status and has not answered yet. */
    public boolean probeInFlight;
    /** How many probes in a row had no answer. */
    public int unansweredProbes;
    /** When it last answered a probe. */
    public MonotonicTime probeAnsweredAt = MonotonicTime.ZERO;
    /** Until this time it is not given up: an old heartbeat of it has arrived, and it is probed. */
    public MonotonicTime probeGraceUntil = MonotonicTime.ZERO;

    /** When it was rented, or null where that is not known. */
    public MonotonicTime rentedAt;
    /** Whether its worker has sent a heartbeat. */
    public boolean up;
    /** Whether the cloud lists it as running; it may have sent no heartbeat in this term yet. */
    public boolean listedRunning;

    /** Since when it has no task, or null. */
    public MonotonicTime idleSince;
    /** Nothing is placed on it before this time, for tasks have lately failed there. */
    public MonotonicTime avoidUntil = MonotonicTime.ZERO;
    /** Decides when elastic jobs may grow onto it again. */
    public GrowthBackoff growthDamping = GrowthBackoff.NONE;
    /** The epoch that the images are of, where an earlier leader noted them; 0: none did. */
    public long imagesEpoch;
    /** The images that it should hold, least recently used first, with their sizes in GB. */
    public final LinkedHashMap<String, Double> images = new LinkedHashMap<>(8, 0.75f, true);
    /** The jobs whose tasks have failed on it since a task last completed there, and how many of each. */
    public final Map<JobId, Integer> failuresByJob = new HashMap<>();

    Machine(MachineId id, MonotonicTime now) {
        this.id = id;
        this.reachability = MachineReachability.initial(now);
    }

    /** Whether its machine type is known. */
    public boolean isTypeKnown() {
        return type != null;
    }

    /** Records the newest message of its worker. */
    public void recordNewestMessage(Heartbeat heartbeat, MonotonicTime now) {
        epochFirstSeenAt =
                heartbeat.epoch() == epoch && epochFirstSeenAt != MonotonicTime.ZERO ? epochFirstSeenAt : now;
        epoch = heartbeat.epoch();
        sequence = heartbeat.sequence();
        newestMessageAt = now;
        newestMessageAnswered = false;
        callsUnanswered = false;
    }

    /** Records that it has answered a probe or command of this term. */
    public void recordAnswer(MonotonicTime now) {
        reachability = reachability.afterProof(now);
        confirmedPresent = true;
    }

    /** Records that a probe or command had no answer; where this node itself is late, that proves nothing about the machine. */
    public void recordUnansweredCall(MonotonicTime now, boolean late) {
        reachability = late ? reachability : reachability.afterMissedMessages(1, now);
        callsUnanswered = true;
    }

    /** Whether it is about to be taken, returned or drained: no task is launched there, whatever was decided before. */
    public boolean isLeaving() {
        return preemptionAt != null || releasing || cordonedBy != null;
    }

    /**
     * The number of tasks whose launch was sent to it.
     *
     * @param seen whether those are counted that its heartbeats have shown, or those that they have not
     */
    public int countLaunched(boolean seen) {
        return (int) placements.values().stream()
                .filter(p -> p.launchSent && seen == p.reported)
                .count();
    }

    /** How long a task of the job would wait for its image on this machine, in milliseconds. */
    public long fetchMs(JobSpec spec, MachineType type) {
        return images.containsKey(spec.image()) ? 0 : Math.round(1000 * spec.imageGb() / type.fetchGbPerS());
    }

    /** Records that it holds the image; the least recently used ones are dropped where the cache is full. */
    public void cacheImage(String image, double gb, double cacheGb) {
        images.put(image, gb);
        double sum = images.values().stream().mapToDouble(Double::doubleValue).sum();
        var it = images.entrySet().iterator();
        while (sum > cacheGb && images.size() > 1 && it.hasNext()) {
            sum -= it.next().getValue();
            it.remove();
        }
    }
}
