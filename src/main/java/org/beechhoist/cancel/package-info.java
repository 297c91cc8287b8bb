/**
 * Decides how long a leader may renew workers' leases given the age of its knowledge of cancellations. Stateless; see
 * docs/design/cancellation.md.
 */
package org.beechhoist.cancel;
