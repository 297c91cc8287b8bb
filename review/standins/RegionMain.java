package review;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.config.Addresses;
import org.beechhoist.local.LoopbackRegion;
import org.beechhoist.net.EventLoop;
import org.beechhoist.standin.Worker;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MachineType;
import org.beechhoist.wire.TaskId;

/**
 * The project's own stand-ins of the state service, the cloud and the workers, as one process. It prints what workers run.
 *
 * <p>Arguments: address of the state service, address of the cloud, controllers as {@code name=address,...}, number of
 * machine types beside the first one, the faulty machine (or {@code -}).
 */
public final class RegionMain {
    private static final int MACHINES_PER_KIND = 5;
    private static final long REPORT_MS = 3000;
    private static final long LEASE_MS = 32_000;
    /** On the faulty machine a task fails after so long. */
    private static final long FAILS_AFTER_MS = 3000;

    private RegionMain() {}

    /** From this number on, tasks are short whatever was guessed. */
    private static final int FIRST_SHORT_TASK = 90;

    private static final long SHORT_TASK_MS = 1000;

    /** Tasks run for as long as was guessed, but for a large job's last ones; on the faulty machine they fail. */
    private static final class PrintedTasks implements LoopbackRegion.Tasks {
        private final String faultyMachine;
        private final Map<String, Boolean> results = new LinkedHashMap<>();

        PrintedTasks(String faultyMachine) {
            this.faultyMachine = faultyMachine;
        }

        private static void print(String line) {
            System.out.println(System.currentTimeMillis() + " " + line);
        }

        @Override
        public long runMs(JobSpec job, TaskId task, String host) {
            if (host.equals(faultyMachine)) {
                return -FAILS_AFTER_MS;
            }
            return task.index() >= FIRST_SHORT_TASK ? SHORT_TASK_MS : Math.round(1000 * job.estimateS());
        }

        @Override
        public boolean completed(TaskId task) {
            return results.containsKey(task.toString());
        }

        @Override
        public void started(String host, TaskId task, long attempt) {
            print("started " + task + " try " + attempt + " on " + host);
        }

        @Override
        public void finished(String host, TaskId task, long attempt) {
            results.put(task.toString(), true);
            print("done " + task + " try " + attempt + " on " + host);
        }

        @Override
        public void ended(String host, TaskId task, long attempt, long lostMs, Worker.End why) {
            print("ended " + task + " try " + attempt + " on " + host + " why " + why);
        }
    }

    public static void main(String[] args) throws Exception {
        EventLoop loop = new EventLoop();
        List<MachineType> types = new ArrayList<>();
        List<String> zones = List.of("kumamoto-a", "kumamoto-b");
        types.add(new MachineType("kiln8", 8, 0, 64, 30, 0.6, 0.39, 0.09, 2, zones));
        for (int i = 0; i < Integer.parseInt(args[3]); i++) {
            types.add(new MachineType(typeName(i), 32, 0, 128, 50, 0.6, 12.8, 3.0, 50, zones));
        }
        LoopbackRegion region = new LoopbackRegion(
                loop,
                new LoopbackRegion.Layout(types, MACHINES_PER_KIND, REPORT_MS, LEASE_MS, 1),
                new PrintedTasks(args[4]));
        Map<String, InetSocketAddress> controllers = new LinkedHashMap<>();
        for (String node : args[2].split(",")) {
            controllers.put(node.split("=")[0], Addresses.parse(node.split("=")[1]));
        }
        region.controllers(controllers);
        region.serveState(Addresses.parse(args[0]));
        region.serveCloud(Addresses.parse(args[1]));
        region.start();
        loop.run();
    }

    /** The name of a machine type that the cloud offers beside the first one. */
    static String typeName(int number) {
        return String.format("forge32-rev%03d", number);
    }
}
