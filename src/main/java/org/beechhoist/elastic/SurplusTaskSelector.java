package org.beechhoist.elastic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Selects the tasks to end when a job has more live tasks than its width: those that lose the least work, then those
 * that free their resources soonest.
 */
public final class SurplusTaskSelector {
    /** A task and its possible termination. */
    public record Candidate<T>(T task, TaskTermination termination) {}

    /** Orders by lost work, then by the time at which the resources are free. */
    public static final Comparator<Candidate<?>> LEAST_LOSS_FIRST = Comparator.comparingDouble(
                    (Candidate<?> c) -> c.termination().lostCpuS())
            .thenComparingLong(c -> c.termination().freedAtMs());

    private SurplusTaskSelector() {}

    /** Returns the tasks to end, at most {@code surplus} of them, in order of preference. */
    public static <T> List<Candidate<T>> select(List<T> live, int surplus, Function<T, TaskTermination> ending) {
        List<Candidate<T>> all = new ArrayList<>();
        for (T t : live) {
            all.add(new Candidate<>(t, ending.apply(t)));
        }
        all.sort(LEAST_LOSS_FIRST);
        return all.subList(0, Math.max(0, Math.min(surplus, all.size())));
    }
}
