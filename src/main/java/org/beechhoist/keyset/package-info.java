/**
 * Key sets and what they mean for jobs: a {@link org.beechhoist.keyset.KeySet} with its versions and the changes that people
 * make to it, and a snapshot of all of them, {@link org.beechhoist.keyset.KeySets}, that says which one a job is to be bound to and
 * whether a bound job may run. Pure; fingerprints only, never keys. {@code core.KeyBook} keeps a node's snapshot, {@code
 * core.KeyHolds} acts on it.
 */
package org.beechhoist.keyset;
