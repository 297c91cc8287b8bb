/**
 * The plan of waiting work: the machine and start time of each waiting task, and the quality of such a plan. {@link
 * org.beechhoist.plan.Plan} is built from machines, team quotas and job entries in a given order, {@link
 * org.beechhoist.plan.Evaluation} rates it, and {@link org.beechhoist.plan.RandomSearch} looks for a better order. The
 * package owns no state beyond the plan that is being built: {@code controller.Planner} makes plans and keeps the current
 * one. It depends on {@code packing} (fragmentation of GPUs) and {@code wire}, and reads no clock; the source of
 * randomness is a parameter.
 */
package org.beechhoist.plan;
