package org.beechhoist.controller.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.elastic.Damping;
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

/** What the leader knows of one machine. */
public final class Machine {
    public final MachineId id;
    public String address;
    public String type;
    public String zone;
    public boolean spot;

    /** Newest message of the worker. */
    public long epoch;

    public long sequence;
    /** When its worker's session was first heard of: the session's lease can have begun as late as that, though nothing was answered. */
    public MonotonicTime epochFirstHeardAt = MonotonicTime.ZERO;
    /** When the newest message of the worker came; no report older than that is more than a copy. */
    public MonotonicTime newestAt = MonotonicTime.ZERO;
    /** Its newest message is a report that was answered with 200. */
    public boolean newestAnswered;
    /** Orders and questions that it may have counted, though no answer came, since its newest message. */
    public boolean callsLost;
    /** Whether it hears; what it says does not prove that. */
    public MachineReachability reachability;
    /** It is there: the cloud has listed or rented it, or it has answered this leadership. A report alone may be a copy. */
    public boolean confirmedPresent;
    /** Reports that have seen no newer token than this may be of an earlier worker of the machine's name. */
    public FencingToken previousIncarnationToken = FencingToken.NONE;
    /** Newest {@code /checkin} report: only these prove that a task is absent. */
    public Heartbeat lastHeartbeat;

    public MonotonicTime lastHeardAt;
    /** When this leadership last answered a report with 200; its worker's lease can't start later. */
    public MonotonicTime lastAnsweredAt;

    public MonotonicTime preemptedAt;
    /** The drain that empties it, or null; nothing new is placed there. */
    public String cordonedBy;
    /** The replacement that it stands by for, or null: it is not returned for being idle. */
    public String standbyFor;

    /** Where the records say that tasks may be on it. */
    public final Map<TaskId, Placement> placements = new HashMap<>();
    /** Running tasks that no record explains, until they are gone. */
    public int unknownTasks;
    /** Placements of earlier leaderships that its newest report says nothing of, and does not prove gone either. */
    public int unconfirmedPlacements;

    /** Orders sent straight to the worker that are not answered yet. */
    public int commandsInFlight;
    /** A launch sent with this token or a lower one may still be executed, minutes late. */
    public FencingToken unacknowledgedToken = FencingToken.NONE;

    public final List<WorkerCommand> outbox = new ArrayList<>();

    public boolean releasing;
    /** The time of day by which something on it must be gone. */
    public long mustBeGoneByMs = Long.MAX_VALUE;
    /** The cloud was asked to end it, and has not answered yet. */
    public boolean releaseRequested;
    /** It was asked for its report and has not answered yet; how often in a row it did not; when it last did. */
    public boolean probeInFlight;

    public int unansweredProbes;
    public MonotonicTime probeAnsweredAt = MonotonicTime.ZERO;
    /** Until then it is not given up: an old report of it has come, and it is asked whether it is there. */
    public MonotonicTime probeGraceUntil = MonotonicTime.ZERO;

    public MonotonicTime rentedAt;
    public boolean up;
    /** The cloud lists it as running, though it may not have reported to this leadership yet. */
    public boolean listedRunning;

    public MonotonicTime idleSince;
    public MonotonicTime avoidUntil = MonotonicTime.ZERO;
    /** When elastic jobs may grow onto it again. */
    public Damping growthDamping = Damping.NONE;
    /** The session that the images are from, where an earlier leader noted them; 0: none did. */
    public long imagesEpoch;
    /** Images it should hold, least recently used first, with their sizes. */
    public final LinkedHashMap<String, Double> images = new LinkedHashMap<>(8, 0.75f, true);
    /** Jobs whose tasks failed on it since one last completed, and how many of each. */
    public final Map<JobId, Integer> failedJobs = new HashMap<>();

    Machine(MachineId id, MonotonicTime now) {
        this.id = id;
        this.reachability = MachineReachability.initial(now);
    }

    public boolean isKnown() {
        return type != null;
    }

    /** A newer message of its worker has come. */
    public void recordNewest(Heartbeat heartbeat, MonotonicTime now) {
        epochFirstHeardAt =
                heartbeat.epoch() == epoch && epochFirstHeardAt != MonotonicTime.ZERO ? epochFirstHeardAt : now;
        epoch = heartbeat.epoch();
        sequence = heartbeat.sequence();
        newestAt = now;
        newestAnswered = false;
        callsLost = false;
    }

    /** It has answered a question or command of this leadership. */
    public void recordAnswer(MonotonicTime now) {
        reachability = reachability.proven(now);
        confirmedPresent = true;
    }

    /** A question or command was not answered; where this node itself is late, that tells nothing of the machine. */
    public void recordMissedCall(MonotonicTime now, boolean late) {
        reachability = late ? reachability : reachability.missed(1, now);
        callsLost = true;
    }

    /** It is about to be taken, returned or emptied: nothing new is launched there, whatever was decided before. */
    public boolean isLeaving() {
        return preemptedAt != null || releasing || cordonedBy != null;
    }

    /** Tasks given to it that it has shown, or that it has not. */
    public int countLaunched(boolean seen) {
        return (int) placements.values().stream()
                .filter(p -> p.launchSent && seen == p.reported)
                .count();
    }

    /** How long a task of the job would wait for its image here. */
    public long fetchMs(JobSpec spec, MachineType type) {
        return images.containsKey(spec.image()) ? 0 : Math.round(1000 * spec.imageGb() / type.fetchGbPerS());
    }

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
