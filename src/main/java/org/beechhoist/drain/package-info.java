/**
 * Decisions about draining and replacing machines within disruption budgets.
 *
 * <p>Operators request a {@link org.beechhoist.drain.Drain}, with the machines ({@link org.beechhoist.drain.Selector}), the pace ({@link
 * org.beechhoist.drain.DrainLimits}) and the times of pauses ({@link org.beechhoist.drain.PauseSchedule}), and declare a {@link
 * org.beechhoist.drain.DisruptionBudget}. An {@link org.beechhoist.drain.Account} records the disruptions of each team's work, {@link
 * org.beechhoist.drain.Progress} the progress of a drain. {@link org.beechhoist.drain.ReplacementSteps} chooses the machines to drain
 * next, {@link org.beechhoist.drain.Evictions} the tasks to evict.
 *
 * <p>The package owns the stored forms of these records ({@code dr/put/}, {@code dr/acct/}, {@code dr/run/}) but no state of a process:
 * the records in memory belong to {@code DrainRegistry}, {@code DrainController} and {@code DisruptionAccounting} of package {@code
 * controller}. It depends on {@code wire} only.
 */
package org.beechhoist.drain;
