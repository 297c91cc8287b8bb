/**
 * Communication between the leader and the workers: heartbeats and their reconciliation with the stored records,
 * commands and those without an acknowledgement, evidence that a task is gone, the failure detector, the recovery after
 * a cold start, the removal and eviction of tasks, and the enforcement of cancellations.
 *
 * <p>Entry points: {@link org.beechhoist.controller.worker.HeartbeatHandler} handles what workers send, {@link
 * org.beechhoist.controller.worker.CommandDispatcher} sends them commands, {@link
 * org.beechhoist.controller.worker.TaskRemoval} is where tasks leave machines, and {@link
 * org.beechhoist.controller.worker.FailureDetector} decides which silent machines are returned to the cloud.
 *
 * <p>Owns commands in flight, probes of silent machines and the phases of recovery; changes {@code state} only by its
 * methods. Depends on {@code state}, {@code leadership} and {@code context}.
 */
package org.beechhoist.controller.worker;
