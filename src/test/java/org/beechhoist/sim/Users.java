package org.beechhoist.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.beechhoist.controller.context.Effect;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MalformedMessageException;

/** The users of a world: they submit, ask, repeat and cancel, and hold every answer against what any node has told before. */
final class Users {
    private final World w;
    int nextJob = 1;
    /** The longest time after the troubles in which no question about one job was answered. */
    long longestUnansweredMs;

    String longestUnanswered;
    /** How long no question about a job may stay unanswered after the troubles. */
    long patienceMs = 75_000;

    Users(World w) {
        this.w = w;
    }

    void submit(JobSpec spec, byte[] body) {
        UserJob j = new UserJob(spec, w.now);
        w.jobs.put(spec.id().text(), j);
        post(j, body, 0);
    }

    /** Submits a job; retries, polls and perhaps a cancellation follow. */
    void submit(
            String jobClass, boolean service, int tasks, double cpus, double estimateS, Consumer<ObjectNode> extra) {
        ObjectNode n = Codec.map()
                .put("ref", String.format("job-%06d", nextJob++))
                .put("jobclass", jobClass)
                .put("owner", w.random.nextBoolean() ? "red" : "blue")
                .put("shape", service ? "standing" : "array")
                .put("urgency", List.of("prod", "urgent", "normal", "low").get(w.random.nextInt(4)))
                .put("pieces", tasks)
                .put("cores", cpus)
                .put("accelerators", 0.0)
                .put("memGb", cpus)
                .put("bundle", "img-" + w.random.nextInt(3))
                .put("pullGb", 1.0)
                .put("samePlace", false)
                .put("apart", false)
                .put("loaner", w.random.nextBoolean())
                .put("guessS", estimateS)
                .put("snapshotEveryS", 0.0)
                .put("snapshotCostS", 0.0);
        extra.accept(n);
        try {
            submit(JobSpec.parse(n), Codec.encode(n));
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    private void post(UserJob j, byte[] body, int tries) {
        long asked = w.now;
        w.ask("POST", "/v1/jobs", body, a -> {
            if (a != null
                    && a.status() == 200
                    && !a.body().path("ref").asText().equals(j.spec.id().text())) {
                j.sameAs = a.body().path("ref").asText(); // its key was taken: that job is its user's from now on
            } else if (a != null && (a.status() == 201 || a.status() == 200)) {
                if (!j.accepted) {
                    j.accepted = true;
                    j.acceptedAt = w.now;
                    poll(j);
                    judge(j, a, asked);
                    w.meetings.told(j);
                } else {
                    judge(j, a, asked);
                }
                if (!w.steady && w.random.nextInt(10) == 0) {
                    w.later(20_000 + w.random.nextInt(100_000), () -> post(j, body, 50)); // asked again much later
                }
            } else if (a != null && a.status() == 422 && mayRefuse.test(j)) {
                w.jobs.remove(j.spec.id().text());
            } else if (a != null && (a.status() == 400 || a.status() == 422)) {
                w.broken("forgotten", j.spec.id() + " is answered " + a.status());
            } else if (tries < 40) {
                w.later(1000, () -> post(j, body, tries + 1));
            }
        });
    }

    void poll(UserJob j) {
        w.later(2000, () -> pollNow(j));
    }

    /** Submissions that may be refused for ever, for they were never made. */
    Predicate<UserJob> mayRefuse = j -> false;

    /** Planted by tests of the checks: this job's user is told once more that it runs. */
    String oldAnswerFor;

    /** One question more about a job; its answer is held against the rules, too. */
    void pollOnce(UserJob j, Consumer<Effect.Respond> then) {
        pollAt(w.anyNode(), j, then);
    }

    void pollAt(int node, UserJob j, Consumer<Effect.Respond> then) {
        long asked = w.now;
        w.askAt(node, "GET", "/v1/jobs/" + j.spec.id(), new byte[0], a -> {
            if (a != null
                    && a.status() == 200
                    && j.told != null
                    && j.spec.id().text().equals(oldAnswerFor)) {
                ((ObjectNode) a.body()).put("status", "running");
            }
            answered(j, a, asked);
            judge(j, a, asked);
            then.accept(a);
        });
    }

    /** Nobody is forgotten: once all troubles are over, some question about each job is answered within 75 s, however others fare. */
    private void answered(UserJob j, Effect.Respond a, long asked) {
        if (w.stateTrouble > 0 || w.orderTrouble > 0 || w.cloudTrouble > 0) {
            w.trouble(0);
        }
        if (a != null && (a.status() == 200 || a.status() == 404)) {
            j.quietSince = -1;
            return;
        }
        j.quietSince = j.quietSince < 0 ? asked : j.quietSince;
        long quiet = w.now - Math.max(j.quietSince, w.calmFrom);
        if (j.accepted && quiet > longestUnansweredMs) {
            longestUnansweredMs = quiet;
            longestUnanswered = j.spec.id().text();
        }
        if (j.accepted && !j.asked && quiet > patienceMs) {
            w.broken("forgotten", "no question about " + j.spec.id() + " was answered for " + quiet + " ms");
        }
    }

    private void pollNow(UserJob j) {
        pollOnce(j, a -> {
            boolean over = "done".equals(j.told) || "cancelled".equals(j.told);
            if (!over || !w.steady && w.random.nextInt(4) > 0) {
                poll(j);
            }
        });
    }

    void cancel(String ref) {
        UserJob j = w.jobs.get(ref);
        j.asked = true;
        long asked = w.now;
        w.ask("POST", "/v1/jobs/" + ref + "/cancel", new byte[0], a -> {
            if (a == null || a.status() != 200) {
                if (a == null || a.status() != 404) {
                    w.later(1000, () -> cancel(ref));
                }
                return;
            }
            judge(j, a, asked);
        });
    }

    void cancelSome() {
        List<String> refs = new ArrayList<>();
        w.jobs.forEach((k, v) -> {
            if (v.accepted && v.told == null) {
                refs.add(k);
            }
        });
        if (!refs.isEmpty()) {
            cancel(refs.get(w.random.nextInt(refs.size())));
        }
    }

    void askForUnknown() {
        w.ask("GET", "/v1/jobs/job-99" + w.random.nextInt(1000, 10_000), new byte[0], a -> {
            if (a != null && a.status() == 200) {
                w.broken("invented", "a job nobody submitted is answered 200");
            }
        });
    }

    /** Questions asked before the user was told may be answered with what was true in between. */
    private void judge(UserJob j, Effect.Respond a, long asked) {
        if (a == null || a.body() == null || a.status() != 200 && a.status() != 404) {
            return;
        }
        String status =
                a.status() == 404 ? Told.ABSENT : a.body().path("status").asText();
        String older = j.history.answered(asked, w.now, status);
        if (older != null) {
            w.broken(status.equals(Told.ABSENT) ? "forgotten" : "went_back", j.spec.id() + " " + older);
        }
        if (status.equals("cancelled")) {
            if (!j.asked) {
                w.broken("went_back", j.spec.id() + " is cancelled, nobody asked");
            }
            if (j.cancelToldAt < 0) {
                j.cancelToldAt = w.now;
                w.lost.cancelled(j.spec.id().text());
            }
            tell(j, status);
        } else if (status.equals("done")) {
            if (j.done.size() < j.spec.tasks()) {
                w.broken("not_done", j.spec.id() + " is called done with " + j.done.size() + " of " + j.spec.tasks());
            }
            tell(j, status);
        }
    }

    private void tell(UserJob j, String status) {
        if (j.told == null) {
            j.told = status;
            w.meetings.told(j);
        }
    }

    // ---- close looks and odd requests ----

    /** Asks every node at once, and repeats the submission at each, a few milliseconds apart. */
    void lookClosely(UserJob j) {
        byte[] body = Codec.encode(j.spec.toNode());
        for (int i = 0; i < w.nodeCount(); i++) {
            int node = i;
            for (int ms = 0; ms <= 6; ms += 3) {
                w.later(ms, () -> pollAt(node, j, a -> {}));
            }
            w.later(w.random.nextInt(8), () -> {
                long asked = w.now;
                w.askAt(node, "POST", "/v1/jobs", body, a -> {
                    if (a != null && (a.status() == 400 || a.status() == 422)) {
                        w.broken("forgotten", j.spec.id() + " is answered " + a.status());
                    }
                    judge(j, a, asked);
                });
            });
        }
    }

    /** What no node may take: a job that lacks a field, one that fits no machine, of an unknown team, over its team's limit, or no map. */
    void oddRequests() {
        ObjectNode good = Codec.map()
                .put("ref", String.format("job-8%05d", w.random.nextInt(100_000)))
                .put("jobclass", "odd")
                .put("owner", "red")
                .put("shape", "array")
                .put("urgency", "normal")
                .put("pieces", 1)
                .put("cores", 1.0)
                .put("accelerators", 0.0)
                .put("memGb", 1.0)
                .put("bundle", "img-0")
                .put("pullGb", 1.0)
                .put("samePlace", false)
                .put("apart", false)
                .put("loaner", true)
                .put("guessS", 5.0)
                .put("snapshotEveryS", 0.0)
                .put("snapshotCostS", 0.0);
        String[] fields = {
            "ref",
            "jobclass",
            "owner",
            "shape",
            "urgency",
            "pieces",
            "cores",
            "memGb",
            "bundle",
            "samePlace",
            "apart",
            "loaner",
            "guessS"
        };
        ObjectNode lacks = good.deepCopy();
        lacks.remove(fields[w.random.nextInt(fields.length)]);
        refused(lacks, 400);
        refused(good.deepCopy().put("cores", 1000.0), 422);
        refused(good.deepCopy().put("owner", "nobody"), 422);
        refused(good.deepCopy().put("shape", "standing").put("pieces", 100), 422);
        refused(good.deepCopy().put("pieces", -1), 400);
        List<UserJob> over =
                w.allJobs().stream().filter(j -> "done".equals(j.told)).toList();
        if (!over.isEmpty()) {
            UserJob j = over.get(w.random.nextInt(over.size()));
            long asked = w.now;
            w.ask("POST", "/v1/jobs/" + j.spec.id() + "/cancel", new byte[0], a -> judge(j, a, asked));
        }
    }

    private void refused(ObjectNode job, int status) {
        w.ask("POST", "/v1/jobs", Codec.encode(job), a -> {
            if (a != null && a.status() < 300) {
                w.broken("accepted", "what can't run or lacks a field: " + job);
            }
            if (a != null && a.status() != status && a.status() != 503) {
                w.broken("status", a.status() + " instead of " + status + ": " + job);
            }
        });
    }
}
