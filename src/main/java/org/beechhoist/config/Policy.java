package org.beechhoist.config;

import java.util.Map;
import org.beechhoist.plan.Evaluation;

/**
 * What operators may set beyond the platform's file, by a Lua script; see README. Times are in seconds there.
 *
 * @param patience the share of a task's slack that it waits for a machine at the lowest price
 * @param fleetNotes whether what is known of the machines is stored for the next leader
 * @param servedFloor whether a class or team that falls below its half comes first
 * @param triage whether jobs are left behind under overload, so that others are in time
 * @param keySets whether signing jobs are bound to key sets
 * @param releases whether the release calendar orders jobs
 * @param packing whether tasks with GPUs go where they break least of what is whole, and {@code moves} whether smaller ones are moved
 *     to make room
 * @param drains whether operators may have machines emptied and replaced, within budgets
 * @param preemptCpuS work thrown away for one task's sake, in seconds of as many CPUs as it needs
 */
public record Policy(
        int searchIterations,
        long searchMs,
        long searchEveryMs,
        Evaluation.Weights weights,
        double patience,
        double preemptCpuS,
        long idleSpotMs,
        long idleOrdinaryMs,
        long silentMs,
        Elastic elastic,
        Cron cron,
        boolean fleetNotes,
        boolean servedFloor,
        boolean triage,
        boolean keySets,
        boolean releases,
        boolean packing,
        boolean moves,
        boolean drains) {
    /**
     * Jobs whose width changes while they run.
     *
     * @param settleMs how long a machine is left alone after a wide task had to leave it; doubled each time
     * @param worth what a second beyond a job's {@code untilS} is worth, in seconds of the whole wide job at the lowest
     *     price
     */
    public record Elastic(boolean on, long settleMs, double worth) {
        /** No job's width changes. */
        public static final Elastic OFF = new Elastic(false, 10_000, 4);
    }

    /**
     * Cron tables, and keys that make submissions the same work.
     *
     * @param onceKeepMs how long such a key is kept, and for which classes otherwise
     */
    public record Cron(boolean on, long onceKeepMs, Map<String, Long> keepByClass) {
        /** There are no cron tables. */
        public static final Cron OFF = new Cron(false, 7 * 86_400_000L, Map.of());

        /** Returns how long the key of a submission of this class is kept, in milliseconds. */
        public long keepMs(String jobClass) {
            return keepByClass.getOrDefault(jobClass, onceKeepMs);
        }
    }

    /** The policy without a script. */
    public static final Policy DEFAULT = new Policy(
            300,
            500,
            10_000,
            Evaluation.Weights.DEFAULT,
            0.3,
            30,
            20_000,
            4_000,
            12_000,
            Elastic.OFF,
            Cron.OFF,
            true,
            true,
            true,
            false,
            false,
            true,
            true,
            false);

    /** Returns the same policy with these settings of elastic jobs. */
    public Policy with(Elastic other) {
        Builder builder = new Builder(this);
        builder.elastic = other;
        return builder.build();
    }

    /** Returns the same policy with fleet notes, and the minimum service share, on or off. */
    public Policy with(boolean notes, boolean minimumShare) {
        Builder builder = new Builder(this);
        builder.fleetNotes = notes;
        builder.servedFloor = minimumShare;
        return builder.build();
    }

    /** Returns the same policy with these settings of cron tables. */
    public Policy with(Cron other) {
        Builder builder = new Builder(this);
        builder.cron = other;
        return builder.build();
    }

    /** Returns the same policy with load shedding on or off. */
    public Policy withTriage(boolean on) {
        Builder builder = new Builder(this);
        builder.triage = on;
        return builder.build();
    }

    /** Returns the same policy with key sets on or off. */
    public Policy withKeySets(boolean on) {
        Builder builder = new Builder(this);
        builder.keySets = on;
        return builder.build();
    }

    /** Returns the same policy with the release calendar on or off. */
    public Policy withReleases(boolean on) {
        Builder builder = new Builder(this);
        builder.releases = on;
        return builder.build();
    }

    /** Returns the same policy with the packing of GPU tasks, and with their migration, on or off. */
    public Policy withPacking(boolean packs, boolean mayMove) {
        Builder builder = new Builder(this);
        builder.packing = packs;
        builder.moves = mayMove;
        return builder.build();
    }

    /** Returns the same policy with drains on or off. */
    public Policy withDrains(boolean may) {
        Builder builder = new Builder(this);
        builder.drains = may;
        return builder.build();
    }

    /** The settings that a copy may change; the others are those of the original. */
    private static final class Builder {
        private final Policy original;
        private Elastic elastic;
        private Cron cron;
        private boolean fleetNotes;
        private boolean servedFloor;
        private boolean triage;
        private boolean keySets;
        private boolean releases;
        private boolean packing;
        private boolean moves;
        private boolean drains;

        Builder(Policy original) {
            this.original = original;
            elastic = original.elastic;
            cron = original.cron;
            fleetNotes = original.fleetNotes;
            servedFloor = original.servedFloor;
            triage = original.triage;
            keySets = original.keySets;
            releases = original.releases;
            packing = original.packing;
            moves = original.moves;
            drains = original.drains;
        }

        Policy build() {
            return new Policy(
                    original.searchIterations,
                    original.searchMs,
                    original.searchEveryMs,
                    original.weights,
                    original.patience,
                    original.preemptCpuS,
                    original.idleSpotMs,
                    original.idleOrdinaryMs,
                    original.silentMs,
                    elastic,
                    cron,
                    fleetNotes,
                    servedFloor,
                    triage,
                    keySets,
                    releases,
                    packing,
                    moves,
                    drains);
        }
    }
}
