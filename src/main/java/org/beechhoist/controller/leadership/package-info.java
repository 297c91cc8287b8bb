/**
 * Leadership: the election by a lease in the state service, the fencing token that guards each of the leader's
 * transactions, what the other controllers last reported about themselves, how the nodes divide the state service's
 * limits, and the detection of a leader that workers cannot reach.
 *
 * <p>Owns the lease, the fencing token and the peers' last messages. Depends on {@code context}, {@code store}, {@code
 * peer} and {@code wire}.
 */
package org.beechhoist.controller.leadership;
