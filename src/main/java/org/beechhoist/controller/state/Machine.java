package org.beechhoist.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.elastic.Damping;
import org.beechhoist.reach.Ears;
import org.beechhoist.store.Placement;
import org.beechhoist.wire.Baton;
import org.beechhoist.wire.HostId;
import org.beechhoist.wire.HostReport;
import org.beechhoist.wire.HostType;
import org.beechhoist.wire.JobRef;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.Order;
import org.beechhoist.wire.TaskId;
import org.beechhoist.wire.Tick;

/** What the leader knows of one machine. */
final class Host {
    final HostId id;
    String address;
    String type;
    String zone;
    boolean spot;

    /** Newest message of the worker. */
    long shift;

    long counter;
    /** When its worker's session was first heard of: the session's lease can have begun as late as that, though nothing was answered. */
    Tick sessionHeard = Tick.ZERO;
    /** When the newest message of the worker came; no report older than that is more than a copy. */
    Tick newestAt = Tick.ZERO;
    /** Its newest message is a report that was answered with 200. */
    boolean answeredNewest;
    /** Orders and questions that it may have counted, though no answer came, since its newest message. */
    boolean callsLost;
    /** Whether it hears; what it says does not prove that. */
    Ears ears;
    /** It is there: the cloud has listed or rented it, or it has answered this leadership. A report alone may be a copy. */
    boolean there;
    /** Reports that have seen no newer token than this may be of an earlier worker of the machine's name. */
    Baton ghosts = Baton.NONE;
    /** Newest {@code /checkin} report: only these prove that a task is absent. */
    HostReport lastCheckin;

    Tick lastHeard;
    /** When this leadership last answered a report with 200; its worker's lease can't start later. */
    Tick lastAnswered;

    Tick noticeEnds;
    /** The drain that empties it, or null; nothing new is placed there. */
    String cordonedBy;
    /** The replacement that it stands by for, or null: it is not returned for being idle. */
    String spareOf;

    /** Where the records say that tasks may be on it. */
    final Map<TaskId, Placement> placements = new HashMap<>();
    /** Running tasks that no record explains, until they are gone. */
    int strangers;
    /** Placements of earlier leaderships that its newest report says nothing of, and does not prove gone either. */
    int inDoubt;

    /** Orders sent straight to the worker that are not answered yet. */
    int ordersInFlight;
    /** A launch sent with this token or a lower one may still be executed, minutes late. */
    Baton limbo = Baton.NONE;

    final List<Order> outbox = new ArrayList<>();

    boolean returning;
    /** The time of day by which something on it must be gone. */
    long goneByMs = Long.MAX_VALUE;
    /** The cloud was asked to end it, and has not answered yet. */
    boolean returnAsked;
    /** It was asked for its report and has not answered yet; how often in a row it did not; when it last did. */
    boolean asked;

    int unanswered;
    Tick answersAt = Tick.ZERO;
    /** Until then it is not given up: an old report of it has come, and it is asked whether it is there. */
    Tick mayAnswerUntil = Tick.ZERO;

    Tick rentedAt;
    boolean up;
    /** The cloud lists it as running, though it may not have reported to this leadership yet. */
    boolean listedUp;

    Tick idleSince;
    Tick avoidUntil = Tick.ZERO;
    /** When elastic jobs may grow onto it again. */
    Damping damping = Damping.NONE;
    /** The session that the images are from, where an earlier leader noted them; 0: none did. */
    long imagesShift;
    /** Images it should hold, least recently used first, with their sizes. */
    final LinkedHashMap<String, Double> images = new LinkedHashMap<>(8, 0.75f, true);
    /** Jobs whose tasks failed on it since one last completed, and how many of each. */
    final Map<JobRef, Integer> failedJobs = new HashMap<>();

    Host(HostId id, Tick now) {
        this.id = id;
        this.ears = Ears.from(now);
    }

    boolean known() {
        return type != null;
    }

    /** A newer message of its worker has come. */
    void newest(HostReport heartbeat, Tick now) {
        sessionHeard = heartbeat.shift() == shift && sessionHeard != Tick.ZERO ? sessionHeard : now;
        shift = heartbeat.shift();
        counter = heartbeat.counter();
        newestAt = now;
        answeredNewest = false;
        callsLost = false;
    }

    /** It has answered a question or command of this leadership. */
    void answers(Tick now) {
        ears = ears.proved(now);
        there = true;
    }

    /** A question or command was not answered; where this node itself is late, that tells nothing of the machine. */
    void missed(Tick now, boolean late) {
        ears = late ? ears : ears.missed(1, now);
        callsLost = true;
    }

    /** It is about to be taken, returned or emptied: nothing new is launched there, whatever was decided before. */
    boolean going() {
        return noticeEnds != null || returning || cordonedBy != null;
    }

    /** Tasks given to it that it has shown, or that it has not. */
    int placedAndSeen(boolean seen) {
        return (int) placements.values().stream()
                .filter(p -> p.sent && seen == p.seen)
                .count();
    }

    /** How long a task of the job would wait for its image here. */
    long fetchMs(JobSpec spec, HostType type) {
        return images.containsKey(spec.image()) ? 0 : Math.round(1000 * spec.imageGb() / type.fetchGbPerS());
    }

    void cached(String image, double gb, double cacheGb) {
        images.put(image, gb);
        double sum = images.values().stream().mapToDouble(Double::doubleValue).sum();
        var it = images.entrySet().iterator();
        while (sum > cacheGb && images.size() > 1 && it.hasNext()) {
            sum -= it.next().getValue();
            it.remove();
        }
    }
}
