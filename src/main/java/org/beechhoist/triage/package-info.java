/**
 * Load shedding: decides which jobs can still meet their deadlines together when more is asked than the machines can do, and
 * which are shed for that. {@link org.beechhoist.triage.ShedJobSelector} is handed the waiting jobs ({@link
 * org.beechhoist.triage.Demand}) and the machines ({@link org.beechhoist.triage.Capacity}) and returns the jobs to shed; {@code
 * controller.LoadShedding} asks it. The package owns no state and reads no clock; it depends on {@code floor} (the shares of
 * groups) and {@code wire}. It takes time in proportion to the number of jobs times its logarithm, and sets no limits of its own.
 */
package org.beechhoist.triage;
