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

/** The leader's view of one machine and its worker. */
public final class Machine {
    /** The machine's id. */
    public final MachineId id;
    /** The worker's address; null if it is not known, or if another machine has answered at it. */
    public String address;
    /** The name of the machine type, or null if it is not known yet. */
    public String type;
    /** The machine's zone. */
    public String zone;
    /** True for a spot machine. */
    public boolean spot;

    /** The epoch of the worker's newest message. */
    public long epoch;
    /** The sequence number of the worker's newest message. */
    public long sequence;
    /** The time at which the worker's epoch first became known; its lease may have begun as late as that, even without an answer. */
    public MonotonicTime epochFirstSeenAt = MonotonicTime.ZERO;
    /** The arrival time of the newest message of the worker; an older heartbeat can only be a copy. */
    public MonotonicTime newestMessageAt = MonotonicTime.ZERO;
    /** True if the newest message is a heartbeat that was answered with 200. */
    public boolean newestMessageAnswered;
    /** True if a command or probe since the newest message had no answer; the worker may still have counted it. */
    public boolean callsUnanswered;
    /** The state of message delivery to the machine; messages from it do not prove delivery. */
    public MachineReachability reachability;
    /** True if the cloud has listed or rented the machine, or it has answered in this term. A heartbeat is no proof: it may be a copy. */
    public boolean confirmedPresent;
    /** A heartbeat with this token or an older one may be of a previous incarnation, an earlier worker of the same name. */
    public FencingToken previousIncarnationToken = FencingToken.NONE;
    /** The newest heartbeat sent to {@code /checkin}; only such heartbeats prove that a task is absent. */
    public Heartbeat lastHeartbeat;

    /** The time of the last contact, or null; an old heartbeat does not count while probes are unanswered. */
    public MonotonicTime lastContactAt;
    /** The time at which this node last answered a heartbeat with 200, or null; the worker's lease can't begin later. */
    public MonotonicTime lastAnsweredAt;
    /** The time at which the cloud takes the machine according to a preemption notice, or null without a notice. */
    public MonotonicTime preemptionAt;
    /** The drain that cordons the machine, or null; no new task is placed on a cordoned machine. */
    public String cordonedBy;
    /** The drain whose rolling replacement reserves the machine, or null; a reserved machine is not returned when idle. */
    public String reservedForDrain;

    /** The recorded placements of tasks that may be on the machine. */
    public final Map<TaskId, Placement> placements = new HashMap<>();
    /** The number of unknown tasks: running tasks that are in no record. */
    public int unknownTasks;
    /** The number of placements of earlier terms that the newest heartbeat neither shows nor proves absent. */
    public int unconfirmedPlacements;

    /** The exited attempts that the worker has not been told to forget. */
    public final ExitedAttempts exitedAttempts = new ExitedAttempts();

    /** The number of unanswered command messages sent directly to the worker. */
    public int commandsInFlight;
    /** An unanswered launch sent with this token or a lower one may still be executed, minutes late. */
    public FencingToken unacknowledgedToken = FencingToken.NONE;

    /** Commands to be sent to the worker. */
    public final List<WorkerCommand> outbox = new ArrayList<>();

    /** True while the machine is being returned to the cloud. */
    public boolean releasing;
    /** The time of day by which the tasks that have to stop must have ended. */
    public long stopDeadlineMs = Long.MAX_VALUE;
    /** True while a request to the cloud to end the machine is unanswered. */
    public boolean releaseInFlight;
    /** True while a probe of the machine is unanswered. */
    public boolean probeInFlight;
    /** The number of consecutive unanswered probes. */
    public int unansweredProbes;
    /** The time at which the machine last answered a probe. */
    public MonotonicTime probeAnsweredAt = MonotonicTime.ZERO;
    /** The machine is not treated as lost before this time, because an old heartbeat has arrived and it is being probed. */
    public MonotonicTime probeGraceUntil = MonotonicTime.ZERO;

    /** The time at which the machine was rented, or null if not known. */
    public MonotonicTime rentedAt;
    /** True if the worker has sent a heartbeat. */
    public boolean up;
    /** True if the cloud lists the machine as running; it may not have sent a heartbeat in this term yet. */
    public boolean listedRunning;

    /** The time since which the machine has no task, or null. */
    public MonotonicTime idleSince;
    /** No task is placed on the machine before this time, because tasks have recently failed there. */
    public MonotonicTime avoidUntil = MonotonicTime.ZERO;
    /** The back-off that delays the growth of elastic jobs onto the machine. */
    public GrowthBackoff growthBackoff = GrowthBackoff.NONE;
    /** The worker epoch of the images if an earlier leader stored them, otherwise 0. */
    public long imagesEpoch;
    /** The images expected in the cache with their sizes in GB, least recently used first. */
    public final LinkedHashMap<String, Double> images = new LinkedHashMap<>(8, 0.75f, true);
    /** The number of failed tasks by job since a task last completed on the machine. */
    public final Map<JobId, Integer> failuresByJob = new HashMap<>();

    Machine(MachineId id, MonotonicTime now) {
        this.id = id;
        this.reachability = MachineReachability.initial(now);
    }

    /** Returns whether the machine type is known. */
    public boolean isTypeKnown() {
        return type != null;
    }

    /** Records the newest message of the worker. */
    public void recordNewestMessage(Heartbeat heartbeat, MonotonicTime now) {
        epochFirstSeenAt =
                heartbeat.epoch() == epoch && epochFirstSeenAt != MonotonicTime.ZERO ? epochFirstSeenAt : now;
        epoch = heartbeat.epoch();
        sequence = heartbeat.sequence();
        newestMessageAt = now;
        newestMessageAnswered = false;
        callsUnanswered = false;
    }

    /**
     * Returns whether the answer to a call proves that the worker has restarted: it would have numbered the answer above what was
     * known of it when the call was sent.
     */
    public boolean isRestartedBy(Heartbeat answer, long epochWhenSent, long sequenceWhenSent) {
        return !answer.isNewerThan(epoch, sequence) && !answer.isNewerThan(epochWhenSent, sequenceWhenSent);
    }

    /** Records that the machine has answered a probe or command of this term. */
    public void recordAnswer(MonotonicTime now) {
        reachability = reachability.afterProof(now);
        confirmedPresent = true;
    }

    /** Records an unanswered probe or command; if this node itself is lagging, that proves nothing about the machine. */
    public void recordUnansweredCall(MonotonicTime now, boolean lagging) {
        reachability = lagging ? reachability : reachability.afterMissedMessages(1, now);
        callsUnanswered = true;
    }

    /** Returns whether the machine is being preempted, returned or drained; then no task is launched there, not even a placed one. */
    public boolean isLeaving() {
        return preemptionAt != null || releasing || cordonedBy != null;
    }

    /**
     * Returns the number of tasks whose launch was sent to the machine.
     *
     * @param reported true to count the tasks that its heartbeats have shown, false to count those that they have not
     */
    public int countLaunched(boolean reported) {
        return (int) placements.values().stream()
                .filter(p -> p.launchSent && reported == p.reported)
                .count();
    }

    /** Returns how long a task of the job would wait for its image on this machine, in milliseconds. */
    public long fetchMs(JobSpec spec, MachineType type) {
        return images.containsKey(spec.image()) ? 0 : Math.round(1000 * spec.imageGb() / type.fetchGbPerS());
    }

    /** Records that the machine holds the image; evicts the least recently used images if the cache is full. */
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
