package org.beechhoist.triage;

import java.util.Map;

/**
 * What there is to work with.
 *
 * @param busyCpuMs what runs already and has to end first
 * @param teams the same for each team that has a limit
 */
public record Means(long nowMs, double cpus, double busyCpuMs, Map<String, Team> teams) {
    /** A team's limit, and what it has running. */
    public record Team(double cpus, double busyCpuMs) {
    }
}
