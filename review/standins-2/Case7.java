import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;

/** One task of a huge array runs far longer than its owner's estimate, the others are short. */
final class Case7 extends Case {
    private static final String JOB = "job-000001";
    private static final int TASKS = 4000;
    private static final long MAX_WAIT_MS = 90_000;

    public static void main(String[] args) {
        new Case7().runIn(Path.of(args[0]));
    }

    @Override
    int play() throws Exception {
        build(
                new Region.Layout(Sites.HEREDIA_TYPES, 2, 16, 8192, 3000, 26_000, 8000, 3),
                Sites.HEREDIA_ZONES,
                Sites.HEREDIA);
        region.quiet = true;
        region.runs = (task, host) -> task.index() == 0 && trouble ? 180_000L : 1000L;
        for (String zone : Sites.HEREDIA_ZONES) {
            region.machinesAtStart("jaguar32", zone, 2);
        }
        startControllers();
        String address = controllers.publicAddress((leader() + 1) % 3);
        ObjectNode job = Sites.job(JOB, "volcan", "ucr-movilidad", "normal", TASKS, 0.25, 0.45)
                .put("guessS", 2.0)
                .put("pullGb", 0.3)
                .put("loaner", false);
        job.putArray("hosttypes").add("jaguar32");
        user.submit(address, job);
        int finished = 0;
        int least = Integer.MAX_VALUE;
        long since = record.ms();
        long nextPoll = 0;
        while (region.finished(JOB) < TASKS && record.ms() < 116_000) {
            sleep(200);
            if (region.finished(JOB) > finished || region.running(JOB).size() != (trouble ? 1 : 0)) {
                finished = region.finished(JOB);
                since = record.ms();
                least = Integer.MAX_VALUE;
            }
            List<String> room = region.roomFor(0.25, 0.45);
            least = Math.min(least, room.size());
            if (record.ms() >= nextPoll) {
                nextPoll = record.ms() + 5000;
                user.poll(address, JOB);
                record.line("completed " + finished + " of " + TASKS + ", running " + region.running(JOB).size()
                        + "; machines with room for a task of it: " + room);
            }
            if (record.ms() > since + MAX_WAIT_MS + 1000) {
                break;
            }
        }
        long waited = record.ms() - since;
        record.line("completed " + region.finished(JOB) + " of " + TASKS + "; for " + waited / 1000.0
                + " s no task has started; machines with room, at least: " + least);
        if (region.finished(JOB) == TASKS) {
            return HELD;
        }
        return waited > MAX_WAIT_MS && least > 0 ? BROKEN : NOT_RUN;
    }
}
