/**
 * Decisions about cancellations: how long a leader may renew workers' leases on what it knows of them. Pure; see
 * docs/design/cancellation.md.
 */
package org.beechhoist.cancel;
