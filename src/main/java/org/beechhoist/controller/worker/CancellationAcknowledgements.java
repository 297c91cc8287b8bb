package org.beechhoist.controller.worker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MonotonicTime;

/**
 * Delays the answer to a committed cancellation for a moment, until the leader acknowledges that no task of the job can start any
 * more. It is an optimization that no rule depends on: the commit alone decides, and after {@link #LONGEST_MS} the user is answered
 * without an acknowledgement. It keeps a launch that is in flight at that moment from being executed just after the answer.
 */
public final class CancellationAcknowledgements {
    /** The longest delay of an answer. */
    static final long MAX_DELAY_MS = 60;
    /** A leader that could not acknowledge a cancellation for so long after the commit does not do it later: nobody waits any more. */
    private static final long ACKNOWLEDGE_WITHIN_MS = 1000;
    /** Well under the size limit of a message between nodes. */
    private static final int MAX_IN_MESSAGE = 500;

    private final ControllerContext context;
    /** Answers to users of this node. */
    private final Map<JobId, List<Runnable>> waitingResponses = new HashMap<>();
    /** Cancellations that this node, leading, has heard of and not acknowledged yet. */
    private final Map<JobId, MonotonicTime> unacknowledged = new HashMap<>();
    /** Acknowledgements to be sent to the other nodes. */
    private final List<JobId> toSend = new ArrayList<>();

    public CancellationAcknowledgements(ControllerContext context) {
        this.context = context;
    }

    /** Answers a user once the leader has acknowledged the cancellation, or after the longest delay. */
    public void await(JobId jobId, Runnable answer) {
        List<Runnable> waiting = waitingResponses.computeIfAbsent(jobId, k -> new ArrayList<>());
        waiting.add(answer);
        if (waiting.size() == 1) {
            context.schedule(MAX_DELAY_MS, () -> release(jobId));
        }
    }

    private void release(JobId jobId) {
        List<Runnable> waiting = waitingResponses.remove(jobId);
        if (waiting != null) {
            waiting.forEach(Runnable::run);
        }
    }

    /** The leader has acknowledged it. */
    public void receive(JobId jobId) {
        release(jobId);
    }

    /** This node leads, and some node is about to confirm a cancellation, or has done so: it is told of each again and again. */
    public void register(JobId jobId, long committedWallMs) {
        if (context.wallMs() - committedWallMs < ACKNOWLEDGE_WITHIN_MS) {
            unacknowledged.putIfAbsent(jobId, context.now());
        }
    }

    /** Acknowledges what can be, to users of this node at once; whether there is something to be sent to the others. */
    public boolean acknowledgeReady(Predicate<JobId> noTaskCanStart) {
        for (Iterator<Map.Entry<JobId, MonotonicTime>> it =
                        unacknowledged.entrySet().iterator();
                it.hasNext(); ) {
            Map.Entry<JobId, MonotonicTime> next = it.next();
            if (context.now().since(next.getValue()) > ACKNOWLEDGE_WITHIN_MS) {
                it.remove();
            } else if (noTaskCanStart.test(next.getKey())) {
                it.remove();
                release(next.getKey());
                toSend.add(next.getKey());
            }
        }
        return !toSend.isEmpty();
    }

    /** The acknowledgements that the next message to the other nodes carries. */
    public List<JobId> drainForPeers() {
        List<JobId> next = toSend.subList(0, Math.min(MAX_IN_MESSAGE, toSend.size()));
        List<JobId> out = List.copyOf(next);
        next.clear();
        return out;
    }
}
