/**
 * The cluster state that the leader holds in memory (open jobs, machines, what is not written yet) and its way from and to the
 * state service: the loader, the replay of the change log, the application of watched changes, the selection of pending writes,
 * the committer of transactions, the resolution of commits with an unknown result, optimistic updates, and the registry of
 * committed cancellations.
 *
 * <p>Owns {@link org.beechhoist.controller.state.ClusterState} and everything in it. Depends on {@code leadership}, {@code
 * context}, the records of {@code store}, and small decisions about jobs.
 */
package org.beechhoist.controller.state;
