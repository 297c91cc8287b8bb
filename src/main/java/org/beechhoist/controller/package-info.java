/**
 * One controller node as a state machine: inputs (requests, results of calls, messages of peers, the passing of time) go in,
 * effects (calls, answers, messages to peers) come out. It does no I/O and reads no clock.
 *
 * <p>{@link org.beechhoist.controller.Controller} takes the inputs and {@link org.beechhoist.controller.Leader} does what only
 * the leader does. The subpackages are layers, each of which knows only those before it: {@code context}, {@code leadership},
 * {@code state}, {@code worker}. What still lies in this package (scheduling, scaling, drains, key sets, releases, cron and the
 * request APIs) knows all of them; they never refer back to it.
 */
package org.beechhoist.controller;
