package org.beechhoist.peer;

import org.beechhoist.wire.JobId;

/** A job whose cancellation is committed, and when that was, by the time of day. */
public record CancelledJob(JobId job, long wallMs) {}
