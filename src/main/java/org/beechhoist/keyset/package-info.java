/**
 * Key sets and the rules for jobs that are bound to them. A {@link org.beechhoist.keyset.KeySet} has versions, which people propose,
 * approve and revoke. {@link org.beechhoist.keyset.KeySets} is a snapshot of all key sets; it decides which version a job is bound to
 * and whether a bound job may run ({@link org.beechhoist.keyset.RunDecision}). Key sets contain fingerprints of keys, never the keys.
 * All types are immutable, so the package owns no state: {@code controller.KeySetRegistry} keeps a node's snapshot and {@code
 * controller.KeySetHolds} enforces the decisions; the records are stored under {@code ks/}. The package depends on {@code wire} only
 * and reads no clock.
 */
package org.beechhoist.keyset;
