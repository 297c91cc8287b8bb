import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;
import org.beechhoist.wire.TaskId;

/**
 * A team at its limit submits arrays of a class several times as often as usual. A job of another team, which is under its own limit,
 * is submitted afterwards, while most machines are idle.
 */
final class Case6 extends Case {
    private static final int ARRAYS = 9;
    private static final int TASKS = 1000;
    private static final String OTHER = "job-000100";
    private static final long MAX_WAIT_MS = 90_000;

    public static void main(String[] args) {
        new Case6().runIn(Path.of(args[0]));
    }

    @Override
    int play() throws Exception {
        build(
                new Region.Layout(Sites.HEREDIA_TYPES, 2, 16, 8192, 3000, 26_000, 8000, 3),
                Sites.HEREDIA_ZONES,
                Sites.HEREDIA);
        region.quiet = true;
        region.runs = (TaskId task, String host) -> 25_000L;
        for (String zone : Sites.HEREDIA_ZONES) {
            region.machinesAtStart("jaguar32", zone, 2);
        }
        startControllers();
        String address = controllers.publicAddress((awaitLeader() + 1) % 3);
        for (int i = 1; i <= (trouble ? ARRAYS : 1); i++) {
            ObjectNode array = Sites.job(
                            String.format("job-%06d", i), "podscan", "plataforma", "urgent", TASKS, 3, 5.4)
                    .put("loaner", false)
                    .put("pullGb", 0.3);
            array.putArray("hosttypes").add("jaguar32");
            user.submit(address, array);
        }
        sleep(3000);
        ObjectNode other = Sites.job(OTHER, "podscan", "cadena", "normal", 2, 4, 5.4).put("pullGb", 0.3).put("loaner", false);
        other.putArray("hosttypes").add("jaguar32");
        user.submit(address, other);
        long accepted = record.ms();
        int least = Integer.MAX_VALUE;
        long nextPoll = 0;
        while (region.lastStartedAt(OTHER) == 0 && record.ms() < accepted + MAX_WAIT_MS + 3000) {
            sleep(200);
            List<String> room = region.roomFor(4, 5.4);
            least = Math.min(least, room.size());
            if (record.ms() >= nextPoll) {
                nextPoll = record.ms() + 5000;
                user.poll(address, OTHER);
                record.line("machines with room for a task of it: " + room);
            }
        }
        boolean begun = region.lastStartedAt(OTHER) > 0;
        long waited = (begun ? region.lastStartedAt(OTHER) : record.ms()) - accepted;
        record.line("the other team's job has begun: " + begun + ", it waited " + waited / 1000.0 + " s; machines with room for a task of it, at least: "
                + least);
        if (begun && waited <= MAX_WAIT_MS) {
            return HELD;
        }
        return least > 0 ? BROKEN : NOT_RUN;
    }
}
