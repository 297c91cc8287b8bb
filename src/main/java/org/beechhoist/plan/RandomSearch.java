package org.beechhoist.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import java.util.function.Function;

/**
 * Random search over plans: a candidate (an order of entries, or an order with widths) is changed at random, its
 * plan is built, and the candidate is accepted if the plan is better. The search advances in single steps, so that
 * the caller can do other work in between.
 *
 * @param <C> the type of the candidates, from which plans are built
 */
public final class RandomSearch<C> {
    private final SplittableRandom random;
    private final BiFunction<C, SplittableRandom, C> move;
    private final Function<C, Evaluation> evaluate;
    private final Evaluation.Weights weights;
    private final int iterations;
    private C best;
    private Evaluation bestEvaluation;
    private int triedCount;
    private int acceptedCount;

    /**
     * Creates a search that has not tried any candidate.
     *
     * @param move returns a randomly changed copy of a candidate
     * @param evaluate builds and evaluates a candidate's plan
     * @param iterations the number of candidates to try
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

    /** Returns a copy of the order in which the entry at {@code from} is moved to a random position. */
    public static <T> List<T> withRandomPosition(List<T> order, int from, SplittableRandom random) {
        List<T> candidate = new ArrayList<>(order);
        T entry = candidate.remove(from);
        candidate.add(random.nextInt(candidate.size() + 1), entry);
        return candidate;
    }

    /** Returns whether all iterations are done. */
    public boolean finished() {
        return triedCount >= iterations;
    }

    /** Tries one candidate; does nothing if the search is finished. */
    public void step() {
        if (finished()) {
            return;
        }
        if (bestEvaluation == null) {
            bestEvaluation = evaluate.apply(best);
        }
        C candidate = move.apply(best, random);
        Evaluation value = evaluate.apply(candidate);
        triedCount++;
        if (value.isBetterThan(bestEvaluation, weights)) {
            best = candidate;
            bestEvaluation = value;
            acceptedCount++;
        }
    }

    /** Returns the best candidate so far. */
    public C best() {
        return best;
    }

    /** Returns the number of candidates tried. */
    public int triedCount() {
        return triedCount;
    }

    /** Returns the number of candidates that were better than the best one before them. */
    public int acceptedCount() {
        return acceptedCount;
    }
}
