package org.beechhoist.peer;

import org.beechhoist.wire.JobId;

/** How many of a job's tasks are done, and how many are on machines. */
public record JobCount(JobId job, int done, int running) {}
