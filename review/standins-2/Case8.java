import java.nio.file.Path;
import java.util.List;

/** A machine that was rented for a job never comes up. Meanwhile a machine that is up has room for the job's waiting tasks. */
final class Case8 extends Case {
    private static final String LONG = "job-000001";
    private static final String JOB = "job-000002";
    private static final int TASKS = 6;
    private static final long MAX_WAIT_MS = 90_000;
    private static final long TROUBLE_MS = 10_000;

    public static void main(String[] args) {
        new Case8().runIn(Path.of(args[0]));
    }

    @Override
    int play() throws Exception {
        build(
                new Region.Layout(Sites.KUMAMOTO_TYPES, 2, 40, 8192, 3000, 32_000, 10_000, 3),
                Sites.KUMAMOTO_ZONES,
                Sites.KUMAMOTO);
        region.runs = (task, host) -> task.job().text().equals(LONG) ? 180_000L : 8000L;
        region.machinesAtStart("forge32", "kumamoto-a", 1);
        startControllers();
        String address = controllers.publicAddress((leader() + 1) % 3);
        if (trouble) {
            region.bootTrouble(true);
        }
        user.submit(
                address,
                Sites.job(LONG, "hashsweep", "nightless", "normal", 1, 8, 27).put("pullGb", 0.5).put("loaner", false).put("guessS", 180.0));
        if (!await(20_000, () -> region.running(LONG).size() == 1)) {
            return NOT_RUN;
        }
        // The numbers of the example on the protocol's page.
        user.submit(
                address,
                Sites.job(JOB, "hashsweep", "nightless", "normal", TASKS, 8, 27).put("pullGb", 0.5).put("guessS", 240.0).put("dueS", 900.0));
        long submitted = record.ms();
        long since = submitted;
        int least = Integer.MAX_VALUE;
        long nextPoll = 0;
        boolean over = !trouble;
        while (region.finished(JOB) < TASKS && record.ms() < 116_000) {
            sleep(200);
            if (!over && record.ms() > submitted + TROUBLE_MS) {
                region.bootTrouble(false);
                over = true;
            }
            List<String> room = region.roomFor(8, 27);
            boolean waits = over && !room.isEmpty() && region.started(JOB) < TASKS;
            if (!waits) {
                since = record.ms();
            }
            if (record.ms() >= nextPoll) {
                nextPoll = record.ms() + 5000;
                user.poll(address, JOB);
                record.line("started " + region.started(JOB) + " of " + TASKS + "; machines with room for a task of it: " + room);
            }
            if (record.ms() > since + MAX_WAIT_MS + 1000) {
                break;
            }
        }
        long waited = record.ms() - since;
        record.line("started " + region.started(JOB) + " of " + TASKS + "; for " + waited / 1000.0
                + " s, without a pause, some task waited while a machine had room");
        if (region.started(JOB) == TASKS) {
            return HELD;
        }
        return waited > MAX_WAIT_MS ? BROKEN : NOT_RUN;
    }
}
