package org.beechhoist.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.beechhoist.wire.ApiClient;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.ResizeRequest;
import picocli.CommandLine;

/** The commands of users and operators. Exit codes: 0 done, 1 refused or unknown, 2 bad arguments, 3 no node answers. */
final class UserCommands {
    private static final int REFUSED = 1;
    private static final int USAGE = 2;
    private static final int UNREACHABLE = 3;

    private UserCommands() {}

    /** What a command asks. */
    interface Question {
        ApiClient.Answer ask() throws IOException;
    }

    /** Asks the nodes, and prints what they answer. */
    static int ask(Nodes nodes, String method, String path, ObjectNode body, String what) {
        return run(() -> nodes.client().ask(method, path, body), what);
    }

    static int run(Question question, String what) {
        try {
            ApiClient.Answer answer = question.ask();
            if (answer.status() >= 300) {
                System.err.println("beechhoist: " + what + ": " + answer.status() + " "
                        + answer.body().path("error").asText(""));
                return REFUSED;
            }
            System.out.println(
                    new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(answer.body()));
            return 0;
        } catch (IOException e) {
            System.err.println("beechhoist: no node answers: " + e);
            return UNREACHABLE;
        }
    }

    /** What is asked about one job. */
    private interface JobQuestion {
        ApiClient.Answer ask(ApiClient client, JobId ref) throws IOException;
    }

    /** The arguments of the commands about one job. */
    static final class OneJob {
        @CommandLine.Mixin
        private Nodes nodes;

        @CommandLine.Parameters(paramLabel = "JOB")
        private String job;

        private int ask(JobQuestion question) {
            if (!JobId.isValid(job)) {
                System.err.println("beechhoist: " + job + ": a job id such as job-000412 is expected");
                return USAGE;
            }
            return run(() -> question.ask(nodes.client(), new JobId(job)), job);
        }
    }

    /** Submits a job described in a TOML file. */
    @CommandLine.Command(
            name = "submit",
            mixinStandardHelpOptions = true,
            description = "Submit the job that a TOML file describes.")
    static final class Submit implements Callable<Integer> {
        @CommandLine.Mixin
        private Nodes nodes;

        @CommandLine.Parameters(paramLabel = "JOB.toml", description = "the fields of POST /v1/jobs; see the README")
        private Path file;

        @Override
        public Integer call() {
            JobSpec spec;
            try {
                spec = JobFile.read(file);
            } catch (JobFile.Bad e) {
                System.err.println("beechhoist: " + e.getMessage());
                return USAGE;
            }
            return run(() -> nodes.client().submit(spec), spec.id().text());
        }
    }

    /** Shows a job's state. */
    @CommandLine.Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Show a job: its state, its planned start, and what it fails of.")
    static final class Status implements Callable<Integer> {
        @CommandLine.Mixin
        private OneJob target;

        @Override
        public Integer call() {
            return target.ask(ApiClient::status);
        }
    }

    /** Cancels a job. */
    @CommandLine.Command(name = "cancel", mixinStandardHelpOptions = true, description = "Cancel a job.")
    static final class Cancel implements Callable<Integer> {
        @CommandLine.Mixin
        private OneJob target;

        @Override
        public Integer call() {
            return target.ask(ApiClient::cancel);
        }
    }

    /** Changes how many of a job's tasks may be on machines at once. */
    @CommandLine.Command(
            name = "resize",
            mixinStandardHelpOptions = true,
            description = "Change how many of a job's "
                    + "tasks, or a standing job's replicas, may be on machines at once; 0 pauses it.")
    static final class ResizeJob implements Callable<Integer> {
        @CommandLine.Mixin
        private OneJob target;

        @CommandLine.ArgGroup(multiplicity = "1", exclusive = true)
        private How how;

        @CommandLine.Option(
                names = "--until",
                paramLabel = "S",
                description = "seconds from the job's submission until "
                        + "when it should be done; machines are rented for it if need be")
        private Double untilS;

        @CommandLine.Option(
                names = "--number",
                paramLabel = "K",
                description = "larger is newer: one that arrives late changes nothing; a retry has the same number")
        private Long number;

        /** One width or the bounds of one. */
        static final class How {
            @CommandLine.Option(names = "--width", required = true, paramLabel = "N")
            private Integer width;

            @CommandLine.ArgGroup(exclusive = false)
            private Bounds bounds;
        }

        /** Between which the leader chooses. */
        static final class Bounds {
            @CommandLine.Option(names = "--least", required = true, paramLabel = "N")
            private int least;

            @CommandLine.Option(names = "--most", required = true, paramLabel = "N")
            private int most;
        }

        @Override
        public Integer call() {
            ObjectNode node = Codec.map()
                    .put("least", how.width != null ? how.width : how.bounds.least)
                    .put("most", how.width != null ? how.width : how.bounds.most)
                    .put("untilS", untilS)
                    .put("number", number);
            ResizeRequest resize;
            try {
                resize = ResizeRequest.parse(node);
            } catch (MalformedMessageException e) {
                System.err.println("beechhoist: " + e.getMessage());
                return USAGE;
            }
            return target.ask((client, ref) -> client.resize(ref, resize));
        }
    }

    /** Shows an operator's view. */
    @CommandLine.Command(
            name = "view",
            mixinStandardHelpOptions = true,
            description = "Show the leader's plan, hosts or teams, or a node's metrics.")
    static final class View implements Callable<Integer> {
        /** The views there are. */
        enum Name {
            plan,
            hosts,
            teams,
            falls,
            start,
            served,
            metrics
        }

        @CommandLine.Mixin
        private Nodes nodes;

        @CommandLine.Parameters(paramLabel = "VIEW", description = "one of ${COMPLETION-CANDIDATES}")
        private Name name;

        @Override
        public Integer call() {
            return run(() -> nodes.client().view(name.name()), name.name());
        }
    }
}
