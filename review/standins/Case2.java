package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * A job that names many machine types loses a few tasks to one faulty machine. The rule: another job, submitted after
 * that, is not left waiting for 90 s while a machine that fits has room.
 */
public final class Case2 {
    /** The cloud offers so many machine types beside the first one. */
    private static final int MORE_TYPES = 420;
    /** The job allows the first one and so many of the others. */
    private static final int ALLOWED_TYPES = 400;

    private static final int TASKS = 100;
    private static final double CORES = 0.5;
    private static final double TASK_S = 130;
    private static final String FIRST_MACHINE = "m-000000";
    /** So many of the tasks fit on a machine of the first type, which has 8 CPUs. */
    private static final int TASKS_PER_MACHINE = 16;

    /** What the rule allows. */
    private static final long WAIT_MS = 90_000;
    /** The second job has to be accepted by then, so that the case ends in time. */
    private static final long START_WITHIN_MS = 25_000;

    private Case2() {}

    public static void main(String[] args) throws Exception {
        int code = Harness.COULD_NOT_RUN;
        try (Harness harness = new Harness(Path.of(args[0]))) {
            harness.startRegion(MORE_TYPES, Harness.hasTrouble() ? FIRST_MACHINE : "-");
            harness.startControllers(false);
            code = play(harness);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static long countRan(Harness harness, String event) throws Exception {
        return harness.workersRan().stream().filter(line -> line.contains(event)).count();
    }

    private static int play(Harness harness) throws Exception {
        ObjectNode large = Harness.job("job-000001", "certcheck", TASKS, CORES, 0.5, TASK_S);
        ArrayNode types = large.putArray("hosttypes").add("kiln8");
        for (int i = 0; i < ALLOWED_TYPES; i++) {
            types.add(RegionMain.typeName(i));
        }
        if (!harness.submit(large, START_WITHIN_MS)) {
            return Harness.COULD_NOT_RUN;
        }
        // Until the faulty machine has failed some tasks; without it, until the tasks run.
        String event = Harness.hasTrouble() ? "why FAILED" : "started job-000001/";
        while (countRan(harness, event) == 0) {
            if (harness.sinceStartMs() > START_WITHIN_MS) {
                harness.log("result: could not run: no task " + event);
                return Harness.COULD_NOT_RUN;
            }
            Harness.sleep(200);
        }
        Harness.sleep(1000);
        ObjectNode small = Harness.job("job-000002", "keysign", 1, CORES, 0.5, 5);
        if (!harness.submit(small, START_WITHIN_MS)) {
            return Harness.COULD_NOT_RUN;
        }
        long accepted = harness.sinceStartMs();
        while (harness.sinceStartMs() - accepted < WAIT_MS && countRan(harness, "started job-000002/") == 0) {
            Harness.sleep(2500);
            harness.log("user: status of job-000002: " + harness.status(0, "job-000002"));
        }
        boolean started = countRan(harness, "started job-000002/") > 0;
        Map<String, Integer> running = runningByMachine(harness);
        boolean room = running.values().stream().anyMatch(n -> n > 0 && n < TASKS_PER_MACHINE);
        harness.log("tasks that the machines run, of " + TASKS_PER_MACHINE + " that fit: " + running);
        for (int i = 0; i < 3; i++) {
            for (String line : harness.logged(i, "refused as malformed").stream().limit(2).toList()) {
                harness.log("log of node " + i + ": " + line);
            }
        }
        harness.log("result: job-000002 " + (started ? "started" : "not started") + " within "
                + (harness.sinceStartMs() - accepted) / 1000 + " s of its acceptance");
        return started || !room ? Harness.HELD : Harness.BROKEN;
    }

    /** Returns how many tasks each machine runs by what the workers printed; a machine that runs some is there. */
    private static Map<String, Integer> runningByMachine(Harness harness) throws Exception {
        Map<String, Integer> running = new TreeMap<>();
        for (String line : harness.workersRan()) {
            String[] words = line.split(" "); // time, event, task, "try", attempt, "on", machine
            running.merge(words[6], words[1].equals("started") ? 1 : -1, Integer::sum);
        }
        return running;
    }
}
