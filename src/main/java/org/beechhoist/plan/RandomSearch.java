package org.beechhoist.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import java.util.function.Function;

/**
 * Random search over plans: a candidate (an order of entries, or an order with widths) is changed at random, the plan is built
 * anew, and the candidate is kept if the plan is better. It advances by single steps, so that the caller can do other work in
 * between.
 *
 * @param <C> what a plan is built from
 */
public final class RandomSearch<C> {
    private final SplittableRandom random;
    private final BiFunction<C, SplittableRandom, C> move;
    private final Function<C, Evaluation> evaluate;
    private final Evaluation.Weights weights;
    private final int iterations;
    private C best;
    private Evaluation bestValue;
    private int done;
    private int acceptedCount;

    /**
     * Makes a search that has not begun.
     *
     * @param move makes a changed candidate of a given one
     * @param evaluate builds a candidate's plan and measures it
     * @param iterations how many candidates are tried
     */
    public RandomSearch(
            C start,
            BiFunction<C, SplittableRandom, C> move,
            Function<C, Evaluation> evaluate,
            Evaluation.Weights weights,
            int iterations,
            SplittableRandom random) {
        this.best = start;
        this.move = move;
        this.evaluate = evaluate;
        this.weights = weights;
        this.iterations = iterations;
        this.random = random;
    }

    /** Returns a copy of the order in which the entry at {@code from} has a random place. */
    public static <T> List<T> withRandomPosition(List<T> order, int from, SplittableRandom random) {
        List<T> candidate = new ArrayList<>(order);
        T entry = candidate.remove(from);
        candidate.add(random.nextInt(candidate.size() + 1), entry);
        return candidate;
    }

    /** Returns whether all iterations are done. */
    public boolean finished() {
        return done >= iterations;
    }

    /** Tries one candidate; does nothing once finished. */
    public void step() {
        if (finished()) {
            return;
        }
        if (bestValue == null) {
            bestValue = evaluate.apply(best);
        }
        C candidate = move.apply(best, random);
        Evaluation value = evaluate.apply(candidate);
        done++;
        if (value.isBetterThan(bestValue, weights)) {
            best = candidate;
            bestValue = value;
            acceptedCount++;
        }
    }

    /** Returns the best candidate so far. */
    public C best() {
        return best;
    }

    /** Returns how many candidates were tried. */
    public int triedCount() {
        return done;
    }

    /** Returns how many candidates were better than the best before them. */
    public int acceptedCount() {
        return acceptedCount;
    }
}
