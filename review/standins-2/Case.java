import java.nio.file.Path;
import java.util.List;
import java.util.function.BooleanSupplier;

/** What the cases share: the region, three controllers, a user, and the exit codes 0 (held), 1 (broken) and 2 (could not run). */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    private static final long MAX_MS = 117_000;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Recorder record;
    Region region;
    Controllers controllers;
    User user;

    /** Runs the case in its folder and exits. */
    final void runIn(Path folder) {
        int result = NOT_RUN;
        try {
            record = new Recorder(folder.resolve("record.txt"));
            record.line("trouble: " + trouble);
            Thread watchdog = new Thread(() -> {
                sleep(MAX_MS);
                record.line("result 2: out of time");
                Runtime.getRuntime().exit(NOT_RUN);
            });
            watchdog.setDaemon(true);
            watchdog.start();
            result = play();
        } catch (Throwable e) {
            if (record != null) {
                record.line("the case could not run: " + e);
            }
            e.printStackTrace();
        }
        if (record != null) {
            record.line("result " + result);
        }
        System.out.println("result " + result + (result == BROKEN ? ": the rule was broken" : result == HELD ? ": the rule held" : ": not run"));
        if (controllers != null) {
            controllers.endAll();
        }
        Runtime.getRuntime().exit(result);
    }

    abstract int play() throws Exception;

    /** Makes the region and the controllers of a small deployment; the controllers are not started yet. */
    final void build(Region.Layout layout, List<String> zones, String settings) throws Exception {
        region = new Region(layout, record);
        controllers = new Controllers(layout.nodes(), record);
        for (int i = 0; i < layout.nodes(); i++) {
            controllers.configure(
                    i, zones.get(i % zones.size()), zones, region.stateAddress(i), region.cloudAddress(), settings);
        }
        region.start(controllers.publicAddresses());
        user = new User(record, region);
    }

    /** Starts all controllers and waits until each is ready and one leads. */
    final void startControllers() throws Exception {
        for (int i = 0; i < controllers.count(); i++) {
            controllers.start(i);
        }
        boolean ready = await(15_000, () -> {
            for (int i = 0; i < controllers.count(); i++) {
                if (!user.isReady(controllers.publicAddress(i))) {
                    return false;
                }
            }
            return leader() >= 0;
        });
        if (!ready) {
            throw new IllegalStateException("the controllers did not become ready");
        }
        record.line("controllers are ready; the leader is hoistnode-" + leader());
    }

    /** The controller that leads, or -1. */
    final int leader() {
        for (int i = 0; i < controllers.count(); i++) {
            if (controllers.isAlive(i) && user.view(controllers.publicAddress(i), "/v1/hosts") != null) {
                return i;
            }
        }
        return -1;
    }

    /** The controller that leads; waits for one. */
    final int awaitLeader() {
        int[] leader = {-1};
        if (!await(10_000, () -> (leader[0] = leader()) >= 0)) {
            throw new IllegalStateException("no controller leads");
        }
        return leader[0];
    }

    static boolean await(long ms, BooleanSupplier condition) {
        long until = System.nanoTime() + ms * 1_000_000;
        while (System.nanoTime() < until) {
            if (condition.getAsBoolean()) {
                return true;
            }
            sleep(20);
        }
        return condition.getAsBoolean();
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
