/**
 * The start of a leadership after a fall, as pure decisions over what is stored and what machines say: what each pair of the
 * two means ({@link org.beechhoist.start.Squaring}), what a report proves ({@link org.beechhoist.start.Evidence}), whether a
 * machine that has not spoken is counted on ({@link org.beechhoist.start.Presence}), how far the start has come ({@link
 * org.beechhoist.start.Progression}) and how fast it may ask and command ({@link org.beechhoist.start.Pace}). It knows the wire's small types and
 * nothing of the leader's book; the leader's room {@code core.Starting} is its user.
 */
package org.beechhoist.start;
