/**
 * The client of the state service (a consensus-backed key-value store) and the records that are kept there: a job's record, the
 * change log of many jobs' tasks, the snapshot of the fleet, the service shares.
 *
 * <p>Each record reads what older versions wrote. Nothing here decides when something is read or written. Depends on {@code wire},
 * and on {@code floor} for the shares.
 */
package org.beechhoist.store;
