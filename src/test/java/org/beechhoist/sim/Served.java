package org.beechhoist.sim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
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

    private Served() {}

    /** Limits are 1.5 times a job's deadline, or {@code usualMs} without one; jobs that were cancelled or serve for ever count for nobody. */
    static Map<String, Share> of(World w, long usualMs, Predicate<UserJob> which) {
        Map<String, Share> out = new TreeMap<>();
        for (UserJob j : w.allJobs()) {
            long limit = j.spec.deadlineS() == null ? usualMs : Math.round(1500 * j.spec.deadlineS());
            if (!j.accepted
                    || j.spec.isService()
                    || "cancelled".equals(j.told)
                    || !which.test(j)
                    || j.submittedAt + limit > w.now) {
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

    /** The same of each class's largest tenth, quarter and half, by tasks, CPUs and length; of the largest, ties are all taken in. */
    static Map<String, Share> largest(World w, long usualMs, Predicate<UserJob> which) {
        Map<String, List<UserJob>> classes = new TreeMap<>();
        w.allJobs().stream().filter(j -> j.accepted && which.test(j)).forEach(j -> classes.computeIfAbsent(
                        j.spec.jobClass(), k -> new ArrayList<>())
                .add(j));
        Map<String, Share> out = new TreeMap<>();
        classes.forEach((c, jobs) -> {
            jobs.sort(Comparator.comparingDouble(Served::size).reversed());
            for (int part : new int[] {10, 25, 50}) {
                double from = size(jobs.get(Math.max(0, jobs.size() * part / 100 - 1)));
                Map<String, Share> all =
                        of(w, usualMs, j -> which.test(j) && j.spec.jobClass().equals(c) && size(j) >= from);
                if (all.containsKey("class " + c)) {
                    out.put("largest " + part + "% of " + c, all.get("class " + c));
                }
            }
        });
        return out;
    }

    static double size(UserJob j) {
        return j.spec.tasks() * j.spec.cpus() * j.spec.estimateS();
    }

    /** The longest time that one of a class's largest tenth waited until its first task began, in ms; those that never did count till now. */
    static long longestWaitOfLargest(World w, Predicate<UserJob> which) {
        long longest = 0;
        Map<String, List<UserJob>> classes = new TreeMap<>();
        w.allJobs().stream()
                .filter(j -> j.accepted && !"cancelled".equals(j.told) && which.test(j))
                .forEach(j -> classes.computeIfAbsent(j.spec.jobClass(), k -> new ArrayList<>())
                        .add(j));
        for (List<UserJob> jobs : classes.values()) {
            jobs.sort(Comparator.comparingDouble(Served::size).reversed());
            for (UserJob j : jobs.subList(0, Math.max(1, jobs.size() / 10))) {
                longest = Math.max(longest, (j.startedAt < 0 ? w.now : j.startedAt) - j.submittedAt);
            }
        }
        return longest;
    }

    static double least(Map<String, Share> shares) {
        return shares.values().stream().mapToDouble(Share::value).min().orElse(1);
    }
}
