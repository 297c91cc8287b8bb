import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import org.beechhoist.wire.TaskId;

/**
 * One huge array meets a faulty machine: one of its tasks fails, and some seconds later another one. The user of an unrelated job
 * that runs on other machines asks for its end.
 */
final class Case5 extends Case {
    private static final String LARGE = "job-000001";
    private static final String SMALL = "job-000002";
    private static final String LATE = "job-000003";
    /** One task in five runs for 8 to 12 s, from number 2000 on for 110 s; the others are short. */
    private static final long LONG_MS = 8000;

    private static final long LONG_SPREAD_MS = 4000;
    private static final long LONGEST_MS = 110_000;
    private static final int FIRST_LONGEST = 2000;
    private static final long SHORT_MS = 500;
    private static final long SMALL_MS = 35_000;
    /** Groups of task numbers; used only to choose the moment of the trouble. */
    private static final int GROUP = 200;

    /** From so long after the last task of a job has completed its user expects "done". */
    private static final long DONE_WITHIN_MS = 3000;
    /** For so long after that the user goes on asking before the answer counts as never given. */
    private static final long ASKED_FOR_MS = 45_000;

    /** The next task of the large job that starts fails, unless the small job runs on its machine. */
    private volatile boolean failNext;

    private volatile String failedOn;

    public static void main(String[] args) {
        new Case5().runIn(Path.of(args[0]));
    }

    private long runMs(TaskId task, String host) {
        if (!task.job().text().equals(LARGE)) {
            return task.job().text().equals(SMALL) ? SMALL_MS : 1000;
        }
        if (failNext && !region.running(SMALL).containsValue(host)) {
            failNext = false;
            failedOn = host;
            return -300;
        }
        if (task.index() % 5 != 2) {
            return SHORT_MS;
        }
        return task.index() >= FIRST_LONGEST ? LONGEST_MS : LONG_MS + (task.index() * 7919L) % LONG_SPREAD_MS;
    }

    @Override
    int play() throws Exception {
        build(
                new Region.Layout(Sites.HEREDIA_TYPES, 2, 16, 8192, 3000, 26_000, 8000, 3),
                Sites.HEREDIA_ZONES,
                Sites.HEREDIA);
        region.quiet = true;
        region.runs = this::runMs;
        for (String zone : Sites.HEREDIA_ZONES) {
            region.machinesAtStart("jaguar32", zone, 2);
        }
        startControllers();
        String address = controllers.publicAddress((awaitLeader() + 1) % 3);
        ObjectNode large = Sites.job(LARGE, "volcan", "ucr-movilidad", "urgent", 60_000, 0.25, 0.45)
                .put("guessS", 1.0)
                .put("pullGb", 0.3)
                .put("loaner", false);
        large.putArray("hosttypes").add("jaguar32");
        user.submit(address, large);
        progress("running tasks are spread: " + await(20_000, () -> groups().size() >= 8));
        if (trouble) {
            failOne();
        }
        ObjectNode small = Sites.job(SMALL, "podscan", "cadena", "normal", 2, 4, 5.4)
                .put("guessS", 35.0)
                .put("pullGb", 0.3)
                .put("loaner", false);
        user.submit(address, small);
        int reached = new TreeSet<>(groups()).last();
        boolean further = await(
                25_000,
                () -> groups().size() >= 8
                        && groups().stream().allMatch(n -> n > reached)
                        && region.running(SMALL).size() == 2);
        progress("the large job has gone on: " + further + "; the small job runs: " + region.running(SMALL));
        if (trouble) {
            failOne();
        }
        user.submit(address, Sites.job(LATE, "podscan", "cadena", "normal", 2, 4, 5.4).put("guessS", 1.0).put("pullGb", 0.3));
        long accepted = record.ms();
        if (!await(60_000, () -> region.finished(SMALL) == 2)) {
            record.line("the small job's tasks did not complete");
            return NOT_RUN;
        }
        long completed = region.lastFinishedAt(SMALL);
        record.line("the small job's last task has completed");
        boolean told = false;
        while (!told && record.ms() < completed + DONE_WITHIN_MS + ASKED_FOR_MS && record.ms() < 115_000) {
            sleep(4000);
            for (int i = 0; i < 3 && !told; i++) {
                told = user.poll(controllers.publicAddress(i), SMALL).state().equals("done");
            }
            progress("free CPUs " + region.freeCpus());
        }
        long waited = record.ms() - completed;
        record.line("the small job: " + waited / 1000.0 + " s after its last task completed its user was told done: " + told);
        record.line("a job submitted " + (record.ms() - accepted) / 1000.0 + " s ago has begun: "
                + (region.lastStartedAt(LATE) > 0) + "; free CPUs " + region.freeCpus());
        for (int i = 0; i < 3; i++) {
            controllers.log(i, "leadership").forEach(l -> record.line("log: " + l));
        }
        if (told) {
            return HELD;
        }
        return waited > DONE_WITHIN_MS + ASKED_FOR_MS - 5000 ? BROKEN : NOT_RUN;
    }

    /** Lets the next task of the large job fail that starts; returns its machine. */
    private String failOne() {
        int before = region.failed();
        failNext = true;
        progress("a task has failed: " + await(20_000, () -> region.failed() > before) + ", on " + failedOn);
        return failedOn;
    }

    /** The groups of task numbers of which a task of the large job runs. */
    private Set<Integer> groups() {
        Set<Integer> out = new TreeSet<>();
        region.running(LARGE).keySet().forEach(t -> out.add(t.index() / GROUP));
        return out;
    }

    private void progress(String what) {
        record.line(what + "; large job: completed " + region.finished(LARGE) + ", running "
                + region.running(LARGE).size() + " of numbers " + GROUP + " x " + groups());
    }
}
