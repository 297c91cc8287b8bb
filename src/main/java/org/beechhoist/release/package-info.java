/**
 * The release calendar: what makers have promised to ship when ({@link org.beechhoist.release.Release}), which jobs count for it
 * ({@link org.beechhoist.release.Releases}), in which order they go ({@link org.beechhoist.release.ReleaseOrder}) and whether it will
 * be met ({@link org.beechhoist.release.Forecast}). Pure: the order is a function of the stored releases, the open records and the
 * time of day.
 */
package org.beechhoist.release;
