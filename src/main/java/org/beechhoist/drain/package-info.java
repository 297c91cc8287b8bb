/**
 * Emptying and replacing machines within budgets of disruption: what operators ask for ({@link org.beechhoist.drain.Drain}, {@link
 * org.beechhoist.drain.DisruptionBudget}), what each team's work has borne ({@link org.beechhoist.drain.Account}), which machines are begun
 * ({@link org.beechhoist.drain.Waves}) and which tasks leave ({@link org.beechhoist.drain.Evictions}). Pure; the leader's room is
 * {@code core.DrainDesk}.
 */
package org.beechhoist.drain;
