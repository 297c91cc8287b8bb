/**
 * The minimum service share: no class of jobs and no team is served less than half of what it asks for while others are far above
 * theirs, and the largest jobs of a class are not passed over for ever. {@link org.beechhoist.floor.ServiceShareWindow} counts what was asked and
 * served lately, {@link org.beechhoist.floor.LargestJobGroups} says which jobs of a class are its largest; {@link
 * org.beechhoist.floor.PrioritizedJobSelector} and {@link org.beechhoist.floor.StarvingJobSelector} decide which waiting jobs go
 * first. The selectors have no state; the state of the other two is in memory, owned by {@code controller.MinimumServiceShare}, which
 * feeds and asks them, and stored by {@code store.ServiceShareRecord}. Depends on {@code wire} and HdrHistogram only, and reads no
 * clock.
 */
package org.beechhoist.floor;
