/**
 * One controller node as a state machine: its inputs are requests, results of calls, messages of peers and the passing
 * of time; its outputs are effects (calls, answers, messages to peers). It does no I/O and reads no clock.
 *
 * <p>{@link org.beechhoist.controller.Controller} receives the inputs and {@link org.beechhoist.controller.Leader}
 * performs the work of the leader. The subpackages are layers, each of which depends only on those before it: {@code
 * context}, {@code leadership}, {@code state}, {@code worker}. This package contains the rest (scheduling, scaling,
 * drains, key sets, releases, cron and the request APIs); it depends on all of them, and they never depend on it.
 */
package org.beechhoist.controller;
