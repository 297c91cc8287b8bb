package org.beechhoist.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import org.beechhoist.config.Policy;
import org.beechhoist.config.PolicyScript;
import org.beechhoist.config.Settings;
import org.beechhoist.local.LocalCluster;
import org.beechhoist.wire.ApiClient;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MalformedMessageException;
import picocli.CommandLine;

/** Runs a whole region in this process, sees one job through and says how the plan's promise was kept. */
@CommandLine.Command(
        name = "try",
        mixinStandardHelpOptions = true,
        description = "Start a stand-in region and three "
                + "controllers on free loopback ports, run a job to its end, and compare the plan with what happened.")
final class Try implements Callable<Integer> {
    private static final long POLL_MS = 150;
    private static final long READY_MS = 30_000;
    /** Beyond the job's own guess: boots, image fetches, elections. */
    private static final long SLACK_MS = 120_000;

    private static final int ENDED_BADLY = 1;
    private static final int USAGE = 2;
    private static final int UNREACHABLE = 3;

    @CommandLine.Parameters(
            arity = "0..1",
            paramLabel = "JOB.toml",
            description = "the job, with owner = \"ours\"; without it, six tasks of five seconds")
    private Path file;

    @CommandLine.Option(names = "--script", paramLabel = "FILE", description = "operators' script (Lua)")
    private Path script;

    @CommandLine.Option(names = "--keep", description = "leave it running and print the addresses; end with Ctrl-C")
    private boolean keep;

    private final long began = System.nanoTime();

    @Override
    public Integer call() throws IOException, InterruptedException {
        // The controllers' own log would hide the lines that matter here; LOG_LEVEL brings it back.
        if (System.getenv("LOG_LEVEL") == null) {
            System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
        }
        JobSpec job;
        Policy policy;
        try {
            job = file == null ? example() : JobFile.read(file);
            policy = PolicyScript.load(script);
        } catch (JobFile.Bad | PolicyScript.Bad e) {
            System.err.println("beechhoist: " + e.getMessage());
            return USAGE;
        }
        LocalCluster.Layout layout = new LocalCluster.Layout(3, Trials.DEPLOYMENT, policy, Trials.REGION);
        try (LocalCluster cluster = new LocalCluster(layout, new Trials.Sleeping(line -> {}))) {
            return run(cluster, job);
        } catch (Settings.Bad e) {
            throw new IllegalStateException(e);
        }
    }

    private static JobSpec example() {
        try {
            return JobFile.spec(Codec.map()
                    .put("ref", "job-000001")
                    .put("owner", "ours")
                    .put("pieces", 6)
                    .put("cores", 1.0)
                    .put("memGb", 1.0)
                    .put("bundle", "img-1")
                    .put("pullGb", 0.5)
                    .put("guessS", 5.0));
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    private double seconds() {
        return (System.nanoTime() - began) / 1e9;
    }

    private void say(String format, Object... args) {
        System.out.printf(Locale.ROOT, "%6.1f s  %s%n", seconds(), String.format(Locale.ROOT, format, args));
    }

    private static String addresses(List<InetSocketAddress> all) {
        return all.stream().map(LocalCluster::text).collect(Collectors.joining(","));
    }

    private int run(LocalCluster cluster, JobSpec job) throws IOException, InterruptedException {
        say("a region and three controllers run in this process");
        if (keep) {
            say("state service %s, cloud %s", LocalCluster.text(cluster.state()), LocalCluster.text(cluster.cloud()));
            say("submit, status, cancel and view with --node %s", addresses(cluster.nodes()));
        }
        ApiClient client = new ApiClient(cluster.nodes());
        ApiClient.Answer accepted = submit(client, job);
        if (accepted == null || accepted.status() >= 300) {
            System.err.println("beechhoist: " + job.id() + " is refused: "
                    + (accepted == null
                            ? "no node was ready in time"
                            : accepted.status() + " "
                                    + accepted.body().path("error").asText("")));
            return accepted == null ? UNREACHABLE : ENDED_BADLY;
        }
        say(
                "%s accepted: %d tasks of %s CPUs, %s s each by its owner's guess",
                job.id(), job.tasks(), job.cpus(), job.estimateS());
        int code = watch(cluster, job);
        if (keep) {
            say("left running; end with Ctrl-C");
            Thread.currentThread().join();
        }
        return code;
    }

    private ApiClient.Answer submit(ApiClient client, JobSpec job) throws InterruptedException {
        double until = seconds() + READY_MS / 1000.0;
        while (seconds() < until) {
            try {
                ApiClient.Answer answer = client.submit(job);
                if (answer.status() != 503) {
                    return answer;
                }
            } catch (IOException e) {
                // not listening yet
            }
            Thread.sleep(POLL_MS);
        }
        return null;
    }

    /** Only the leader knows the plan, so every node is asked. */
    private static JsonNode ask(List<ApiClient> nodes, JobSpec job) {
        JsonNode last = null;
        for (ApiClient node : nodes) {
            try {
                ApiClient.Answer answer = node.status(job.id());
                if (answer.status() == 200) {
                    last = answer.body();
                    if (last.has("startsInS") || last.has("endsInS")) {
                        return last;
                    }
                }
            } catch (IOException e) {
                // another node answers, or the next question is answered
            }
        }
        return last;
    }

    private int watch(LocalCluster cluster, JobSpec job) throws InterruptedException {
        List<ApiClient> nodes =
                cluster.nodes().stream().map(n -> new ApiClient(List.of(n))).toList();
        double most = seconds() + SLACK_MS / 1000.0 + job.estimateS() * job.tasks();
        double accepted = seconds();
        Double promisedStart = null;
        Double promisedEnd = null;
        Double start = null;
        String shown = "";
        while (seconds() < most) {
            JsonNode node = ask(nodes, job);
            if (node != null) {
                double now = seconds();
                if (promisedStart == null && node.has("startsInS")) {
                    promisedStart = now + node.get("startsInS").doubleValue() - accepted;
                    say("planned to start in %.1f s", node.get("startsInS").doubleValue());
                }
                if (promisedEnd == null && node.has("endsInS")) {
                    promisedEnd = now + node.get("endsInS").doubleValue() - accepted;
                }
                String line = node.path("status").asText() + ": "
                        + node.path("done").asInt() + " of " + job.tasks()
                        + " done, " + node.path("running").asInt() + " placed"
                        + (node.has("reason") ? ", " + node.get("reason").asText() : "");
                if (!line.equals(shown)) {
                    say("%s", line);
                    shown = line;
                }
                if (start == null
                        && (node.path("running").asInt() > 0
                                || node.path("done").asInt() > 0)) {
                    start = now - accepted;
                }
                if (node.path("status").asText().equals("done")
                        || node.path("status").asText().equals("cancelled")) {
                    return compare(
                            promisedStart,
                            start,
                            promisedEnd,
                            now - accepted,
                            node.path("status").asText().equals("done"));
                }
            }
            Thread.sleep(POLL_MS);
        }
        System.err.println("beechhoist: " + job.id() + " did not end in time; its last state was " + shown);
        return ENDED_BADLY;
    }

    private int compare(Double promisedStart, Double start, Double promisedEnd, double end, boolean done) {
        say(
                "promised: first task placed %s, job over %s; happened: %s and %s",
                after(promisedStart), after(promisedEnd), after(start), after(end));
        return done ? 0 : ENDED_BADLY;
    }

    private static String after(Double seconds) {
        return seconds == null ? "without a promise" : String.format(Locale.ROOT, "after %.1f s", seconds);
    }
}
