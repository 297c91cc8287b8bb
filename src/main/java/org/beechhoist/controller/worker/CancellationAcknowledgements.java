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
 * Delays the answer to a committed cancellation for a moment, until the leader acknowledges that no task of the job can
 * start any more. It is an optimization that no guarantee depends on: the commit alone decides, and after
 * {@link #MAX_DELAY_MS} the user is answered without an acknowledgement. It keeps a launch that is in flight at that
 * moment from being executed just after the answer.
 */
public final class CancellationAcknowledgements {
    /** The longest delay of an answer. */
    static final long MAX_DELAY_MS = 60;
    /** How long after the commit a leader may acknowledge a cancellation; later, nobody waits for it any more. */
    private static final long ACKNOWLEDGE_WITHIN_MS = 1000;
    /** The most acknowledgements in one message to other nodes: well under its size limit. */
    private static final int MAX_IN_MESSAGE = 500;

    private final ControllerContext context;
    /** The delayed answers to users of this node. */
    private final Map<JobId, List<Runnable>> waitingResponses = new HashMap<>();
    /**
     * Cancellations that this node, as the leader, knows of and has not acknowledged yet, and since when it knows of
     * them.
     */
    private final Map<JobId, MonotonicTime> unacknowledged = new HashMap<>();
    /** Acknowledgements to be sent to the other nodes. */
    private final List<JobId> toSend = new ArrayList<>();

    /** Creates it without any delayed answers. */
    public CancellationAcknowledgements(ControllerContext context) {
        this.context = context;
    }

    /** Runs the answer to a user once the leader has acknowledged the cancellation, or after the longest delay. */
    public void awaitAcknowledgement(JobId jobId, Runnable answer) {
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

    /** Releases the answers about the job: the leader has acknowledged its cancellation. */
    public void acknowledgementReceived(JobId jobId) {
        release(jobId);
    }

    /**
     * Registers a cancellation to be acknowledged by this node, the leader. Some node is about to confirm it, or has
     * done so; the same cancellation is registered repeatedly.
     */
    public void register(JobId jobId, long committedWallMs) {
        if (context.wallMs() - committedWallMs < ACKNOWLEDGE_WITHIN_MS) {
            unacknowledged.putIfAbsent(jobId, context.now());
        }
    }

    /**
     * Acknowledges each cancellation of whose job no task can start any more; users of this node are answered at once.
     *
     * @return whether there are acknowledgements to be sent to the other nodes
     */
    public boolean acknowledgeReady(Predicate<JobId> noTaskCanStart) {
        Iterator<Map.Entry<JobId, MonotonicTime>> it = unacknowledged.entrySet().iterator();
        while (it.hasNext()) {
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

    /** Removes and returns the acknowledgements that the next message to the other nodes carries. */
    public List<JobId> drainForPeers() {
        List<JobId> next = toSend.subList(0, Math.min(MAX_IN_MESSAGE, toSend.size()));
        List<JobId> out = List.copyOf(next);
        next.clear();
        return out;
    }
}
