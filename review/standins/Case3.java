package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Many users ask about jobs that nobody has submitted. The rule: for no job every poll fails for 90 s while most other
 * polls are answered.
 */
public final class Case3 {
    private static final int NODES = 3;
    /** They ask every 5 s, so 90 times a second together; the load balancer spreads them over the nodes. */
    private static final int OTHER_USERS = 450;

    private static final long POLL_INTERVAL_MS = 5000;
    private static final long POLL_TIMEOUT_MS = 2000;
    /** What the rule allows. */
    private static final long FORGOTTEN_MS = 90_000;

    private static final long START_WITHIN_MS = 17_000;
    private static final long END_MS = 112_000;

    private record Poll(long atMs, String ref, int status) {
        boolean isAnswered() {
            return status == 200 || status == 404;
        }
    }

    private static final List<Poll> POLLS = new ArrayList<>();

    private Case3() {}

    public static void main(String[] args) throws Exception {
        int code = Harness.COULD_NOT_RUN;
        try (Harness harness = new Harness(Path.of(args[0]))) {
            harness.startRegion(0, "-");
            harness.startStandin(
                    "proxy.txt", "review.StateProxy", harness.stateAddress(true), harness.stateAddress(false), "150");
            harness.startControllers(true);
            code = play(harness);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static String jobOfNode(int node) {
        return "job-00000" + (node + 1);
    }

    private static void poll(Harness harness, int node, String ref) {
        long at = harness.sinceStartMs();
        int status = harness.call(node, "GET", "/v1/jobs/" + ref, null, POLL_TIMEOUT_MS)
                .status();
        synchronized (POLLS) {
            POLLS.add(new Poll(at, ref, status));
        }
    }

    private static int play(Harness harness) throws Exception {
        for (int node = 0; node < NODES; node++) {
            if (!harness.submit(Harness.job(jobOfNode(node), "keysign", 1, 4, 8.5, 150), START_WITHIN_MS)) {
                return Harness.COULD_NOT_RUN;
            }
        }
        ScheduledExecutorService clock = Executors.newScheduledThreadPool(2);
        ExecutorService users = Executors.newFixedThreadPool(128);
        if (Harness.hasTrouble()) {
            for (int i = 0; i < OTHER_USERS; i++) {
                int user = i;
                clock.scheduleAtFixedRate(
                        () -> users.execute(
                                () -> poll(harness, user % NODES, String.format("job-%06d", 100_000 + user))),
                        user * POLL_INTERVAL_MS / OTHER_USERS,
                        POLL_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
            }
        }
        // The user of each job stays with one node: open connections are not moved.
        for (int i = 0; i < NODES; i++) {
            int node = i;
            clock.scheduleAtFixedRate(
                    () -> users.execute(() -> poll(harness, node, jobOfNode(node))),
                    POLL_INTERVAL_MS,
                    POLL_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
        }
        Harness.sleep(END_MS - harness.sinceStartMs());
        clock.shutdownNow();
        users.shutdown();
        users.awaitTermination(3, TimeUnit.SECONDS);
        List<String> seconds = harness.printed("proxy.txt");
        harness.log("state service, requests per second and those answered 429: "
                + String.join("; ", seconds.subList(Math.max(0, seconds.size() - 10), seconds.size())));
        boolean broken = false;
        for (int node = 0; node < NODES; node++) {
            broken |= isForgotten(harness, node);
        }
        return broken ? Harness.BROKEN : Harness.HELD;
    }

    /** Returns whether every poll for the node's job failed for 90 s while most other polls were answered. */
    private static boolean isForgotten(Harness harness, int node) {
        String ref = jobOfNode(node);
        List<Poll> all;
        synchronized (POLLS) {
            all = new ArrayList<>(POLLS);
        }
        all.sort((a, b) -> Long.compare(a.atMs, b.atMs));
        StringBuilder statuses = new StringBuilder();
        long failedSince = -1;
        long longestFrom = 0;
        long longest = 0;
        for (Poll poll : all) {
            if (!poll.ref.equals(ref)) {
                continue;
            }
            statuses.append(' ').append(poll.status);
            if (poll.isAnswered()) {
                failedSince = -1;
                continue;
            }
            failedSince = failedSince < 0 ? poll.atMs : failedSince;
            if (poll.atMs - failedSince > longest) {
                longest = poll.atMs - failedSince;
                longestFrom = failedSince;
            }
        }
        int others = 0;
        int answered = 0;
        for (Poll poll : all) {
            if (!poll.ref.equals(ref) && poll.atMs >= longestFrom && poll.atMs <= longestFrom + longest) {
                others++;
                answered += poll.isAnswered() ? 1 : 0;
            }
        }
        boolean forgotten = longest >= FORGOTTEN_MS && answered * 2 > others;
        harness.log("user of " + ref + " at node " + node + ":" + statuses);
        harness.log("  no answer for " + longest / 1000.0 + " s; of the other " + others + " polls in that time "
                + answered + " were answered; forgotten: " + forgotten);
        return forgotten;
    }
}
