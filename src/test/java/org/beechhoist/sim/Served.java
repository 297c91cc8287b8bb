package org.beechhoist.sim;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** What share of what each class and each team asked was served, seen from outside. */
final class Served {
    /** @param inTime jobs over within their limit, of those whose limit lies before the moment looked at */
    record Share(int asked, int inTime) {
        double value() {
            return asked == 0 ? 1 : (double) inTime / asked;
        }
    }

    private Served() {
    }

    /** Limits are 1.5 times a job's deadline, or {@code usualMs} without one; jobs that were cancelled or serve for ever count for nobody. */
    static Map<String, Share> of(World w, long usualMs, Predicate<World.UserJob> which) {
        Map<String, Share> out = new TreeMap<>();
        for (World.UserJob j : w.allJobs()) {
            long limit = j.spec.deadlineS() == null ? usualMs : Math.round(1500 * j.spec.deadlineS());
            if (!j.accepted || j.spec.service() || "cancelled".equals(j.told) || !which.test(j) || j.submittedAt + limit > w.now) {
                continue;
            }
            boolean over = j.done.size() == j.spec.tasks() && j.doneAt - j.submittedAt <= limit;
            for (String group : new String[] {"class " + j.spec.jobClass(), "team " + j.spec.team()}) {
                Share s = out.getOrDefault(group, new Share(0, 0));
                out.put(group, new Share(s.asked + 1, s.inTime + (over ? 1 : 0)));
            }
        }
        return out;
    }

    static double least(Map<String, Share> shares) {
        return shares.values().stream().mapToDouble(Share::value).min().orElse(1);
    }
}
