package org.beechhoist.elastic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/** Which of a job's live tasks go when it has too many: those whose ending throws least away, then frees room soonest. */
public final class Surplus {
    /** A task and how it would end. */
    public record Choice<T>(T task, Ending ending) {}

    /** Least work lost first, then the earliest moment at which the place is free. */
    public static final Comparator<Choice<?>> LEAST_LOSS = Comparator.comparingDouble(
                    (Choice<?> c) -> c.ending().lostCpuS())
            .thenComparingLong(c -> c.ending().freesAtMs());

    private Surplus() {}

    /** The tasks that end, at most {@code surplus} of them, in the order in which they are chosen. */
    public static <T> List<Choice<T>> choose(List<T> live, int surplus, Function<T, Ending> ending) {
        List<Choice<T>> all = new ArrayList<>();
        for (T t : live) {
            all.add(new Choice<>(t, ending.apply(t)));
        }
        all.sort(LEAST_LOSS);
        return all.subList(0, Math.max(0, Math.min(surplus, all.size())));
    }
}
