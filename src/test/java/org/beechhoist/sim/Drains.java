package org.beechhoist.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.beechhoist.wire.TaskId;

/** What drains do, seen from outside: who was stopped, who was away at once, what began where nothing should. */
final class Drains {
    private final World w;
    /** Running tasks stopped by command that were not cancelled; nothing else stops any in these worlds. */
    int purposely;

    int mostAway;
    /** Services with a second replica stopped while one was away. */
    int underFloor;

    int twiceTooSoon;
    int begun;
    private final Set<TaskId> away = new HashSet<>();
    private final Map<TaskId, Long> stoppedAt = new HashMap<>();

    Drains(World w) {
        this.w = w;
        w.stopped = this::stopped;
        w.every(
                500,
                () -> away.removeIf(t -> w.running().contains(t)
                        || w.userJob(t.job().text()).done.contains(t.index())));
    }

    /** A running task was stopped by command. */
    void stopped(TaskId t) {
        UserJob j = w.userJob(t.job().text());
        if (w.cancelled(j)) {
            return;
        }
        purposely++;
        away.removeAll(w.running());
        underFloor +=
                j.spec.isService() && away.stream().anyMatch(o -> o.job().equals(t.job()) && !o.equals(t)) ? 1 : 0;
        away.add(t);
        mostAway = Math.max(mostAway, away.size());
        Long before = stoppedAt.put(t, w.now);
        twiceTooSoon += before != null && w.now - before < 290_000 ? 1 : 0;
    }

    /** From here on nothing may begin on these machines. */
    void watch(List<String> hosts) {
        Set<TaskId> old = new HashSet<>();
        hosts.forEach(h -> old.addAll(w.on(h)));
        long from = w.now;
        w.every(100, () -> {
            for (String h : hosts) {
                for (TaskId t : w.on(h)) {
                    begun += old.add(t) && w.now > from + 5000 ? 1 : 0; // what was on its way has its image by then
                }
            }
        });
    }

    void allServicesUp() {
        for (UserJob j : w.allJobs()) {
            if (j.spec.isService() && !w.cancelled(j)) {
                assertEquals(j.spec.tasks(), w.onMachines(j.spec.id().text()), "replicas of " + j.spec.id());
            }
        }
    }
}
