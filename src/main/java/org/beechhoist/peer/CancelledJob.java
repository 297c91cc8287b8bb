package org.beechhoist.peer;

import org.beechhoist.wire.JobId;

/**
 * A job whose cancellation is committed.
 *
 * @param wallMs the wall-clock time of the commit
 */
public record CancelledJob(JobId job, long wallMs) {}
