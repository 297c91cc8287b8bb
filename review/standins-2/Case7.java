import java.nio.file.Path;

/** The leader ends while tasks of a job wait for their image; their user cancels the job at another controller. */
final class Case7 extends Case {
    private static final String JOB = "job-000001";
    private static final long RESTART_MS = 3000;

    public static void main(String[] args) {
        new Case7().runIn(Path.of(args[0]));
    }

    @Override
    int play() throws Exception {
        build(
                new Region.Layout(Sites.KUMAMOTO_TYPES, 2, 40, 8192, 3000, 32_000, 10_000, 3),
                Sites.KUMAMOTO_ZONES,
                Sites.KUMAMOTO);
        region.runs = (task, host) -> 80_000L;
        for (String zone : Sites.KUMAMOTO_ZONES) {
            region.machinesAtStart("forge32", zone, 1);
        }
        startControllers();
        int leader = awaitLeader();
        String other = controllers.publicAddress((leader + 1) % 3);
        user.submit(other, Sites.job(JOB, "hashsweep", "nightless", "normal", 3, 8, 27).put("pullGb", 3.0).put("guessS", 80.0).put("loaner", false));
        if (!await(20_000, () -> region.lastLaunchedAt(JOB) > 0)) {
            return NOT_RUN;
        }
        sleep(5500); // of the 7.5 s that the image takes
        if (trouble) {
            controllers.kill(leader);
        }
        sleep(300);
        User.Answer answer = new User.Answer(0, null);
        for (int i = 0; i < 20 && answer.status() != 200; i++) {
            answer = user.cancel(other, JOB);
            if (answer.status() != 200) {
                sleep(1000);
            }
        }
        long told = record.ms();
        if (answer.status() != 200 || !answer.state().equals("cancelled") || region.lastStartedAt(JOB) > 0) {
            record.line("the job was not cancelled before its tasks began");
            return NOT_RUN;
        }
        if (trouble) {
            sleep(RESTART_MS - 500);
            controllers.start(leader);
        }
        sleep(25_000);
        user.poll(other, JOB);
        long started = region.lastStartedAt(JOB);
        record.line("told cancelled at " + told / 1000.0 + "; last start of a task at " + started / 1000.0
                + "; tasks still running: " + region.running(JOB).size());
        return started > told ? BROKEN : HELD;
    }
}
