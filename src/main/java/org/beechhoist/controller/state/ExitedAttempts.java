package org.beechhoist.controller.state;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.Heartbeat;
import org.beechhoist.wire.TaskAttempt;

/**
 * The exited attempts that a worker still knows. A copy of a launch may arrive at any time, also after its response, and starts
 * an attempt that the worker has forgotten; a worker that has seen a newer token than the launch's refuses it.
 */
public final class ExitedAttempts {
    private Map<TaskAttempt, FencingToken> forgettableFrom = Map.of();

    /**
     * Replaces the attempts by those that a newer heartbeat shows.
     *
     * @param launchesRefusedFrom returns for an attempt that was not known as exited the oldest token with which the worker
     *     refuses every copy of its launch
     */
    public void update(
            List<Heartbeat.TaskStatus> statuses, Function<Heartbeat.TaskStatus, FencingToken> launchesRefusedFrom) {
        Map<TaskAttempt, FencingToken> reported = new HashMap<>();
        for (Heartbeat.TaskStatus status : statuses) {
            if (status.state() == Heartbeat.TaskState.EXITED) {
                FencingToken known = forgettableFrom.get(status.taskAttempt());
                reported.put(status.taskAttempt(), known == null ? launchesRefusedFrom.apply(status) : known);
            }
        }
        forgettableFrom = reported.isEmpty() ? Map.of() : reported;
    }

    /** Returns whether a worker that has seen the token may forget the attempt. */
    public boolean mayForget(TaskAttempt attempt, FencingToken seen) {
        FencingToken from = forgettableFrom.get(attempt);
        return from != null && seen.compareTo(from) >= 0;
    }

    /** Returns the number of attempts that the worker still knows. */
    public int size() {
        return forgettableFrom.size();
    }

    /** Returns the number of attempts that can't be forgotten before there is a newer token than this one. */
    public int countAwaitingTokenAfter(FencingToken token) {
        return (int) forgettableFrom.values().stream()
                .filter(from -> from.compareTo(token) > 0)
                .count();
    }
}
