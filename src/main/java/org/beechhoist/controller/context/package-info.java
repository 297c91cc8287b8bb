/**
 * The shared base of all controller packages: the time of the current input, the effects it has caused so far, pending
 * calls, timers, pacers, the receiver of a response, and small collections of bounded size.
 *
 * <p>Owns the pending calls and timers. Depends on the message types of {@code wire} and {@code peer} only.
 */
package org.beechhoist.controller.context;
