/**
 * The release calendar: the shipments that makers have promised ({@link org.beechhoist.release.Release}), the jobs that belong to them
 * ({@link org.beechhoist.release.Releases}), the order of these jobs ({@link org.beechhoist.release.ReleaseOrder}), and the forecast
 * whether a release will be met ({@link org.beechhoist.release.Forecast}, corrected by {@link org.beechhoist.release.Calibration}).
 * The package does no I/O: the order is a function of the stored releases, the open jobs and the wall-clock time.
 */
package org.beechhoist.release;
