/**
 * Decisions about draining and replacing machines within disruption budgets.
 *
 * <p>What operators request is a {@link org.beechhoist.drain.Drain} (which machines: {@link org.beechhoist.drain.Selector}, how many at
 * once: {@link org.beechhoist.drain.DrainLimits}, when not: {@link org.beechhoist.drain.PauseSchedule}) and a {@link
 * org.beechhoist.drain.DisruptionBudget}. What each team's work has borne is kept in an {@link org.beechhoist.drain.Account}, how far a
 * drain has come in {@link org.beechhoist.drain.Progress}. {@link org.beechhoist.drain.ReplacementSteps} decides which machines are
 * drained next, {@link org.beechhoist.drain.Evictions} which tasks are evicted.
 *
 * <p>The package owns the stored forms of these records ({@code dr/put/}, {@code dr/acct/}, {@code dr/run/}) but no state of a process:
 * the records in memory belong to {@code DrainRegistry}, {@code DrainController} and {@code DisruptionAccounting} of package {@code
 * controller}. It depends on {@code wire} only.
 */
package org.beechhoist.drain;
