package org.beechhoist.plan;

import java.util.ArrayList;
import java.util.List;

/**
 * What a team's limit leaves free over time. Starts are rounded down to whole seconds and ends up, so that it errs on the safe side
 * and its steps stay few however many tasks there are.
 */
final class TeamQuotaProfile {
    private static final long STEP_MS = 1000;
    private static final double EPSILON = 1e-6;

    private record Use(long from, long to, double cpus, double gpus) {}

    private final long nowMs;
    private final double cpus;
    private final double gpus;
    /** The sum of all CPUs taken, as if all were in use at once. */
    private double cpusEver;
    /** The sum of all GPUs taken, as if all were in use at once. */
    private double gpusEver;
    /** What is not in the profile yet, which is made only for a team that may reach its limit. */
    private final List<Use> pending;

    private AvailabilityProfile profile;

    TeamQuotaProfile(long nowMs, double cpus, double gpus) {
        this.nowMs = nowMs;
        this.cpus = cpus;
        this.gpus = gpus;
        this.pending = new ArrayList<>();
    }

    TeamQuotaProfile(TeamQuotaProfile other) {
        nowMs = other.nowMs;
        cpus = other.cpus;
        gpus = other.gpus;
        cpusEver = other.cpusEver;
        gpusEver = other.gpusEver;
        pending = new ArrayList<>(other.pending);
        profile = other.profile == null ? null : new AvailabilityProfile(other.profile);
    }

    /** Enters what the team uses between two times. */
    void reserve(long from, long to, double cpus, double gpus) {
        cpusEver += cpus;
        gpusEver += gpus;
        Use use = new Use(
                nowMs + (from - nowMs) / STEP_MS * STEP_MS,
                nowMs + (to - nowMs + STEP_MS - 1) / STEP_MS * STEP_MS,
                cpus,
                gpus);
        if (profile == null) {
            if (!unlimited()) {
                pending.add(use);
            }
        } else {
            profile.reserve(use.from, use.to, use.cpus, use.gpus, 0);
        }
    }

    private boolean unlimited() {
        return Double.isInfinite(cpus) && Double.isInfinite(gpus);
    }

    /** Returns what is free over time, or null if everything at once, and that much more, stays within the limit. */
    AvailabilityProfile availabilityIfLimiting(double moreCpus, double moreGpus) {
        if (cpusEver + moreCpus <= cpus + EPSILON && gpusEver + moreGpus <= gpus + EPSILON) {
            return null;
        }
        if (profile == null) {
            profile = new AvailabilityProfile(nowMs, cpus, gpus, Double.POSITIVE_INFINITY);
            pending.forEach(use -> profile.reserve(use.from, use.to, use.cpus, use.gpus, 0));
            pending.clear();
        }
        return profile;
    }
}
