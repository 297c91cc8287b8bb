/**
 * Key sets and what they mean for jobs: a {@link org.beechhoist.keyset.KeySet} with its versions and the changes that people make to
 * it, and a snapshot of all of them, {@link org.beechhoist.keyset.KeySets}, which says which version a job is to be bound to and
 * whether a bound job may run ({@link org.beechhoist.keyset.RunDecision}). It holds fingerprints of keys, never keys. All types are
 * immutable, so the package owns no state: {@code controller.KeySetRegistry} keeps a node's snapshot and {@code
 * controller.KeySetHolds} acts on it; the records are under {@code ks/}. Depends on {@code wire} only, and reads no clock.
 */
package org.beechhoist.keyset;
