/**
 * What messages prove of a machine beside what they say: that it is there, that it hears ({@link
 * org.beechhoist.reach.Ears}), and what an old copy of a report may still tell ({@link org.beechhoist.reach.Standing}). Pure
 * decisions; the leader's rooms {@code core.Reports}, {@code core.Orders} and {@code core.Silence} feed and ask them.
 */
package org.beechhoist.reach;
