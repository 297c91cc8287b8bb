/**
 * The minimum service share: no class of jobs and no team is served less than half of its demand while others are far
 * above their half, and the largest jobs of a class do not starve. {@link org.beechhoist.floor.ServiceShareWindow} counts
 * recent demand and service, and {@link org.beechhoist.floor.LargestJobGroups} determines the largest jobs of each class;
 * {@link org.beechhoist.floor.PrioritizedJobSelector} and {@link org.beechhoist.floor.StarvingJobSelector} decide which
 * waiting jobs go first. The selectors have no state; the state of the other two is in memory, owned and updated by
 * {@code controller.MinimumServiceShare} and stored by {@code store.ServiceShareRecord}. The package depends on {@code
 * wire} and HdrHistogram only, and reads no clock.
 */
package org.beechhoist.floor;
