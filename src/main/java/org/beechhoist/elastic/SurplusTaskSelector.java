package org.beechhoist.elastic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/** Which of a job's live tasks go when it has too many: those whose ending throws least away, then frees room soonest. */
public final class SurplusTaskSelector {
    /** A task and how it would end. */
    public record Candidate<T>(T task, TaskTermination termination) {}

    /** Least work lost first, then the earliest moment at which the place is free. */
    public static final Comparator<Candidate<?>> LEAST_LOSS_FIRST = Comparator.comparingDouble(
                    (Candidate<?> c) -> c.termination().lostCpuS())
            .thenComparingLong(c -> c.termination().freedAtMs());

    private SurplusTaskSelector() {}

    /** The tasks that end, at most {@code surplus} of them, in the order in which they are chosen. */
    public static <T> List<Candidate<T>> select(List<T> live, int surplus, Function<T, TaskTermination> ending) {
        List<Candidate<T>> all = new ArrayList<>();
        for (T t : live) {
            all.add(new Candidate<>(t, ending.apply(t)));
        }
        all.sort(LEAST_LOSS_FIRST);
        return all.subList(0, Math.max(0, Math.min(surplus, all.size())));
    }
}
