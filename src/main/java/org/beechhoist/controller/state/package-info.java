/**
 * The cluster state that the leader holds in memory (open jobs, machines and pending writes) and its exchange with the state
 * service: the loader, the replay of the change log, the application of watched changes, the selection of pending writes, the
 * transaction committer, the resolution of commits with an unknown result, optimistic updates, and the registry of committed
 * cancellations.
 *
 * <p>Owns {@link org.beechhoist.controller.state.ClusterState} and everything in it. Depends on {@code leadership}, {@code
 * context}, the records of {@code store}, and the decision logic about jobs in other packages.
 */
package org.beechhoist.controller.state;
