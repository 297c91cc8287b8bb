/**
 * Load shedding: decides under overload which jobs can still meet their deadlines together and which are shed for that.
 * {@link org.beechhoist.triage.ShedJobSelector} takes the waiting jobs ({@link org.beechhoist.triage.Demand}) and the
 * machines ({@link org.beechhoist.triage.Capacity}) and returns the jobs to shed; {@code controller.LoadShedding} calls
 * it. The package owns no state and reads no clock; it depends on {@code floor} (the shares of groups) and {@code wire}.
 * The run time is O(n log n) in the number of jobs, which is not limited here.
 */
package org.beechhoist.triage;
