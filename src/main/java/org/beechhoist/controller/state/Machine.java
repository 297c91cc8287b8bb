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
    public long shift;

    public long counter;
    /** When its worker's session was first heard of: the session's lease can have begun as late as that, though nothing was answered. */
    public MonotonicTime sessionHeard = MonotonicTime.ZERO;
    /** When the newest message of the worker came; no report older than that is more than a copy. */
    public MonotonicTime newestAt = MonotonicTime.ZERO;
    /** Its newest message is a report that was answered with 200. */
    public boolean answeredNewest;
    /** Orders and questions that it may have counted, though no answer came, since its newest message. */
    public boolean callsLost;
    /** Whether it hears; what it says does not prove that. */
    public MachineReachability ears;
    /** It is there: the cloud has listed or rented it, or it has answered this leadership. A report alone may be a copy. */
    public boolean there;
    /** Reports that have seen no newer token than this may be of an earlier worker of the machine's name. */
    public FencingToken ghosts = FencingToken.NONE;
    /** Newest {@code /checkin} report: only these prove that a task is absent. */
    public Heartbeat lastCheckin;

    public MonotonicTime lastHeard;
    /** When this leadership last answered a report with 200; its worker's lease can't start later. */
    public MonotonicTime lastAnswered;

    public MonotonicTime noticeEnds;
    /** The drain that empties it, or null; nothing new is placed there. */
    public String cordonedBy;
    /** The replacement that it stands by for, or null: it is not returned for being idle. */
    public String spareOf;

    /** Where the records say that tasks may be on it. */
    public final Map<TaskId, Placement> placements = new HashMap<>();
    /** Running tasks that no record explains, until they are gone. */
    public int strangers;
    /** Placements of earlier leaderships that its newest report says nothing of, and does not prove gone either. */
    public int inDoubt;

    /** Orders sent straight to the worker that are not answered yet. */
    public int ordersInFlight;
    /** A launch sent with this token or a lower one may still be executed, minutes late. */
    public FencingToken limbo = FencingToken.NONE;

    public final List<WorkerCommand> outbox = new ArrayList<>();

    public boolean returning;
    /** The time of day by which something on it must be gone. */
    public long goneByMs = Long.MAX_VALUE;
    /** The cloud was asked to end it, and has not answered yet. */
    public boolean returnAsked;
    /** It was asked for its report and has not answered yet; how often in a row it did not; when it last did. */
    public boolean asked;

    public int unanswered;
    public MonotonicTime answersAt = MonotonicTime.ZERO;
    /** Until then it is not given up: an old report of it has come, and it is asked whether it is there. */
    public MonotonicTime mayAnswerUntil = MonotonicTime.ZERO;

    public MonotonicTime rentedAt;
    public boolean up;
    /** The cloud lists it as running, though it may not have reported to this leadership yet. */
    public boolean listedUp;

    public MonotonicTime idleSince;
    public MonotonicTime avoidUntil = MonotonicTime.ZERO;
    /** When elastic jobs may grow onto it again. */
    public Damping damping = Damping.NONE;
    /** The session that the images are from, where an earlier leader noted them; 0: none did. */
    public long imagesShift;
    /** Images it should hold, least recently used first, with their sizes. */
    public final LinkedHashMap<String, Double> images = new LinkedHashMap<>(8, 0.75f, true);
    /** Jobs whose tasks failed on it since one last completed, and how many of each. */
    public final Map<JobId, Integer> failedJobs = new HashMap<>();

    Machine(MachineId id, MonotonicTime now) {
        this.id = id;
        this.ears = MachineReachability.from(now);
    }

    public boolean known() {
        return type != null;
    }

    /** A newer message of its worker has come. */
    public void newest(Heartbeat heartbeat, MonotonicTime now) {
        sessionHeard = heartbeat.shift() == shift && sessionHeard != MonotonicTime.ZERO ? sessionHeard : now;
        shift = heartbeat.shift();
        counter = heartbeat.counter();
        newestAt = now;
        answeredNewest = false;
        callsLost = false;
    }

    /** It has answered a question or command of this leadership. */
    public void answers(MonotonicTime now) {
        ears = ears.proved(now);
        there = true;
    }

    /** A question or command was not answered; where this node itself is late, that tells nothing of the machine. */
    public void missed(MonotonicTime now, boolean late) {
        ears = late ? ears : ears.missed(1, now);
        callsLost = true;
    }

    /** It is about to be taken, returned or emptied: nothing new is launched there, whatever was decided before. */
    public boolean going() {
        return noticeEnds != null || returning || cordonedBy != null;
    }

    /** Tasks given to it that it has shown, or that it has not. */
    public int placedAndSeen(boolean seen) {
        return (int) placements.values().stream()
                .filter(p -> p.sent && seen == p.seen)
                .count();
    }

    /** How long a task of the job would wait for its image here. */
    public long fetchMs(JobSpec spec, MachineType type) {
        return images.containsKey(spec.image()) ? 0 : Math.round(1000 * spec.imageGb() / type.fetchGbPerS());
    }

    public void cached(String image, double gb, double cacheGb) {
        images.put(image, gb);
        double sum = images.values().stream().mapToDouble(Double::doubleValue).sum();
        var it = images.entrySet().iterator();
        while (sum > cacheGb && images.size() > 1 && it.hasNext()) {
            sum -= it.next().getValue();
            it.remove();
        }
    }
}
