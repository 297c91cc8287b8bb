package org.beechhoist.cli;

import java.util.List;
import java.util.function.Consumer;
import org.beechhoist.local.LoopbackRegion;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineType;
import org.beechhoist.wire.TaskId;

/** The region that {@code region} and {@code try} run, and what tasks do there: nothing, for as long as was guessed. */
final class Trials {
    static final LoopbackRegion.Layout REGION = new LoopbackRegion.Layout(
            List.of(new MachineType("c4", 4, 0, 16, 20, 1, 0.2, 0.05, 3, List.of("a", "b"))), 5, 1000, 20_000, 1);

    /** The settings of its controllers from [deployment] on; the file's form is the platform's. */
    static final String DEPLOYMENT =
            """
            [deployment]
            nodes = 3
            zones = ["a", "b"]
            clock_error_ms = 100.0
            [[deployment.teams]]
            name = "ours"
            [deployment.workers]
            report_s = 1.0
            lease_s = 20.0
            cancel_s = 45.0
            [deployment.state]
            rps = 150.0
            write_rps = 50.0
            value_kb = 8.0
            txn_ops = 40
            [deployment.cloud]
            rps = 5.0
            list_lag_s = 1.0
            [deployment.quota]
            max_sockets = 500
            """;

    /** Tasks that take as long as their owner guessed. */
    static final class Sleeping implements LoopbackRegion.Tasks {
        private final Consumer<String> told;

        Sleeping(Consumer<String> told) {
            this.told = told;
        }

        @Override
        public long runMs(JobSpec job, TaskId task, String host) {
            return Math.max(100, Math.round(1000 * job.estimateS()));
        }

        @Override
        public void started(String host, TaskId task, long attempt) {
            told.accept(task + " starts on " + host);
        }

        @Override
        public void finished(String host, TaskId task, long attempt) {
            told.accept(task + " has completed");
        }
    }

    private Trials() {}
}
