import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import org.beechhoist.wire.TaskId;

/** A task fails on a machine and runs on another one; the machine stops and is back at once; a late copy of the first launch follows. */
final class Case4 extends Case {
    private static final String JOB = "job-000001";
    private static final TaskId TASK = TaskId.parse(JOB + "/0");

    private volatile String faulty;

    public static void main(String[] args) {
        new Case4().runIn(Path.of(args[0]));
    }

    private long runMs(TaskId task, String host) {
        if (task.equals(TASK) && faulty == null) {
            faulty = host;
            return -500;
        }
        return 70_000;
    }

    @Override
    int play() throws Exception {
        build(
                new Region.Layout(Sites.HEREDIA_TYPES, 2, 16, 8192, 3000, 26_000, 8000, 3),
                Sites.HEREDIA_ZONES,
                Sites.HEREDIA);
        region.runs = this::runMs;
        for (String zone : Sites.HEREDIA_ZONES) {
            region.machinesAtStart("jaguar32", zone, 1);
        }
        startControllers();
        String address = controllers.publicAddress((awaitLeader() + 1) % 3);
        // Work on all machines, so that none is returned as idle.
        user.submit(address, Sites.job("job-000002", "routeplan", "rayo-sur", "normal", 8, 15, 17).put("pullGb", 0.5).put("guessS", 60.0).put("loaner", false));
        await(10_000, () -> region.running("job-000002").size() == 8);
        user.submit(address, Sites.job(JOB, "payoutcalc", "rayo-sur", "urgent", 1, 1, 1.3).put("pullGb", 0.5).put("loaner", false));
        if (!await(20_000, () -> region.failed() > 0 && region.running(JOB).containsKey(TASK))) {
            record.line("the task did not run on another machine after its failure");
            return NOT_RUN;
        }
        String elsewhere = region.running(JOB).get(TASK);
        Region.DirectCall call = region.directCalls().stream()
                .filter(c -> c.host().equals(faulty) && launches(c.orders()))
                .findFirst()
                .orElse(null);
        record.line("the task failed on " + faulty + " and runs on " + elsewhere + "; its first launch: "
                + (call == null ? "not a direct call" : call.orders()));
        if (call == null || elsewhere.equals(faulty)) {
            return NOT_RUN;
        }
        sleep(1000);
        if (trouble) {
            region.restartMachine(faulty, 300);
            sleep(1300);
            record.line("the worker's answer to the copy: " + region.deliverAgain(faulty, call.orders()));
        }
        sleep(12_000);
        user.poll(address, JOB);
        record.line("starts on one machine while on another: " + region.startedTwice());
        return region.startedTwice() > 0 ? BROKEN : HELD;
    }

    private static boolean launches(JsonNode orders) {
        for (JsonNode order : orders.path("orders")) {
            if (order.path("verb").asText().equals("launch") && order.path("piece").asText().equals(TASK.toString())) {
                return true;
            }
        }
        return false;
    }
}
