/**
 * The plan of waiting work: on which machine and when each waiting task should start, and how good such a plan is.
 * {@link org.beechhoist.plan.Plan} builds one from machines, team limits and job entries in a given order,
 * {@link org.beechhoist.plan.Evaluation} measures it, and {@link org.beechhoist.plan.RandomSearch} looks for a better order. The
 * package owns no state beyond the plan that is being built: {@code controller.Planner} makes plans and keeps the current one. It
 * depends on {@code packing} (fragmentation of GPUs) and {@code wire}, and reads no clock; the source of randomness is handed in.
 */
package org.beechhoist.plan;
