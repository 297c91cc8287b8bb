package org.beechhoist.peer;

import org.beechhoist.wire.JobId;

/**
 * The task counts of a job.
 *
 * @param done the number of finished tasks
 * @param running the number of tasks on machines
 */
public record JobCount(JobId job, int done, int running) {}
