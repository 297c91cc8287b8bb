package org.beechhoist.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.beechhoist.controller.context.Effect;
import org.beechhoist.peer.CancelledJob;
import org.beechhoist.peer.PeerState;
import org.beechhoist.standin.Worker;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.TaskId;

/** Troubles that are aimed at what goes on in a world: at commits, reports, ends and changes of leader. */
final class Meetings {
    /** What becomes of a transaction: whether its answer comes, and how much later it is carried out. */
    record Fate(boolean answered, long lateMs) {
        static final Fate USUAL = new Fate(true, 0);
    }

    /** When a report that is late arrives. */
    enum Arrival {
        ANY_TIME,
        NEXT_LEADER_BEGINS,
        NEXT_LEADER_HAS_ACTED
    }

    private record Kept(byte[] report, Worker worker, Arrival arrival) {}

    /** Defects that the checks must find. */
    enum Planted {
        NONE,
        /** Leases are renewed whatever the leader knows of cancellations. */
        RENEWS_BLINDLY,
        /** What another node tells of them is left alone. */
        HINT_IGNORED,
        /** No kill and no return of a machine goes out while commits get no answer. */
        PURSUIT_WAITS,
        /** A command that is late is carried out whatever token and session it was for. */
        LATE_COMMANDS_PASS,
        /** A report that is late looks as if it had been made just now. */
        OLD_REPORTS_SEEM_NEW
    }

    private static final long LATE_FROM_MS = 2000;
    private static final int LATE_MORE_MS = 10_000;
    private static final int LATE_COMMAND_MORE_MS = 14_000;
    /** A new leader has read the records and answered reports by then. */
    private static final int ACTED_MS = 3000;

    private static final int ACTED_MORE_MS = 9000;
    private static final int MOST_HUNG = 8;
    private static final long LONG_TO_GO_MS = 5000;

    private final World w;
    Planted planted = Planted.NONE;
    private double lateWrites;
    private boolean atOnce;
    private long lateWritesUntil;
    private double copied;
    private Arrival copiesArrive = Arrival.ANY_TIME;
    private long copiedUntil;
    private double heldReports;
    private long heldReportsUntil;
    private final List<Kept> kept = new ArrayList<>();
    private double cancelledAtEnd;
    private long cancelledAtEndUntil;
    private long closeLooksUntil;
    private long watchesHangUntil;
    private double heldUpCommands;
    private long heldUpCommandsUntil;
    /** What happened. */
    int lateOrLost;

    int copiesKept;
    int reportsHeldBack;
    /** Of the late reports: those of an earlier session of their worker, and those that name an earlier attempt of a task. */
    int reportsOfEarlierSessions;

    int reportsOfEarlierAttempts;
    int cancelledAtTheEnd;
    /** Jobs whose first and last task ended under different leaderships. */
    int endedAcrossLeaders;

    int looks;
    int reigns;
    /** Direct commands carried out late, and refused late because their token or session was over. */
    int commandsCarriedOutLate;

    int commandsRefusedLate;
    /** Of those carried out late: launches. */
    int launchesCarriedOutLate;
    /** The longest that a machine was made to hang as its jobs were called off. */
    long longestHangMs;
    /** Direct commands sent to machines that reached no controller at that moment. */
    int commandsToMute;

    private JsonNode leaseOfLead;

    Meetings(World w) {
        this.w = w;
    }

    // ---- planted ----

    /** What a controller tells the others, as they hear it. */
    PeerState heard(PeerState s) {
        List<CancelledJob> cancelled = planted == Planted.HINT_IGNORED ? List.of() : s.cancelledJobs();
        return new PeerState(
                s.node(),
                s.leading(),
                s.fencingToken(),
                s.msSinceStoreAnswer(),
                s.ready(),
                s.heartbeatsReceived(),
                s.writeDemand(),
                s.requestDemand(),
                s.jobCounts(),
                cancelled,
                s.acknowledgedCancellations());
    }

    /** What a worker is told, as it hears it. */
    Effect.Respond heard(Effect.Respond a, LongSupplier token) {
        if (planted == Planted.RENEWS_BLINDLY && a.status() == 503) {
            return new Effect.Respond(0, 200, Codec.map().put("baton", token.getAsLong()), 0);
        }
        return planted == Planted.PURSUIT_WAITS && a.body() != null
                ? new Effect.Respond(0, a.status(), withoutKills(a.body()), 0)
                : a;
    }

    /** What a worker is ordered, as it hears it. */
    JsonNode ordered(JsonNode body, boolean late, Worker worker) {
        if (late && planted == Planted.LATE_COMMANDS_PASS) {
            ((ObjectNode) body).put("baton", w.token()).put("shift", worker.shift());
        }
        return withoutKills(body);
    }

    /** Whether a return of machines is kept back. */
    boolean withholdsReturns() {
        return planted == Planted.PURSUIT_WAITS && w.now < lateWritesUntil;
    }

    private JsonNode withoutKills(JsonNode body) {
        if (withholdsReturns() && body.path("orders").isArray()) {
            for (var it = body.get("orders").elements(); it.hasNext(); ) {
                if (it.next().path("verb").asText().equals("kill")) {
                    it.remove();
                }
            }
        }
        return body;
    }

    // ---- the state service ----

    /** Of that share of transactions no answer comes; they are carried out at once, or 2 to 12 s later, after newer ones. */
    void lateWrites(double share, boolean carriedOutAtOnce, long forMs) {
        w.trouble(forMs);
        lateWrites = share;
        atOnce = carriedOutAtOnce;
        lateWritesUntil = w.now + forMs;
    }

    /** Questions for changes of open records stay open, whoever asks, while all else is served. */
    void watchesHang(long forMs) {
        w.trouble(forMs);
        watchesHangUntil = w.now + forMs;
    }

    boolean hangs(String path) {
        return w.now < watchesHangUntil && path.startsWith("/changes?prefix=jo/");
    }

    Fate ofCommit() {
        if (w.now < lateWritesUntil && w.random.nextDouble() < lateWrites) {
            lateOrLost++;
            return new Fate(false, atOnce ? 0 : LATE_FROM_MS + w.random.nextInt(LATE_MORE_MS));
        }
        if (w.random.nextDouble() >= w.stateTrouble) {
            return Fate.USUAL;
        }
        return new Fate(false, w.random.nextBoolean() ? 3000 + w.random.nextInt(60_000) : 0);
    }

    // ---- commands ----

    /** That share of direct commands gets no answer and is carried out once, 2 to 16 s later, if token and session still match. */
    void lateCommands(double share, long forMs) {
        w.trouble(forMs + LATE_FROM_MS + LATE_COMMAND_MORE_MS);
        heldUpCommands = share;
        heldUpCommandsUntil = w.now + forMs;
    }

    /** For how long the command that is sent now is held up; 0: not at all. */
    long commandHeldUpMs() {
        boolean heldUp = w.now < heldUpCommandsUntil && w.random.nextDouble() < heldUpCommands;
        return heldUp ? LATE_FROM_MS + w.random.nextInt(LATE_COMMAND_MORE_MS) : 0;
    }

    void commandArrivedLate(JsonNode body, int status) {
        if (status != 200) {
            commandsRefusedLate++;
            return;
        }
        commandsCarriedOutLate++;
        for (JsonNode order : body.path("orders")) {
            launchesCarriedOutLate += order.path("verb").asText().equals("launch") ? 1 : 0;
        }
    }

    // ---- reports ----

    /** Of that share of reports a copy comes again, up to two leases later, or at that moment of the next leader. */
    void lateReports(double share, Arrival arrival, long forMs) {
        w.trouble(forMs);
        copied = share;
        copiesArrive = arrival;
        copiedUntil = w.now + forMs;
    }

    /** That share of reports does not arrive before the next leader has acted. */
    void holdReports(double share, long forMs) {
        w.trouble(forMs);
        heldReports = share;
        heldReportsUntil = w.now + forMs;
    }

    /** A worker sends a report; whether it is held back on its way. */
    boolean reported(byte[] report, Worker worker) {
        if (w.now < heldReportsUntil && w.random.nextDouble() < heldReports) {
            reportsHeldBack++;
            kept.add(new Kept(report, worker, Arrival.NEXT_LEADER_HAS_ACTED));
            return true;
        }
        if (w.now < copiedUntil && w.random.nextDouble() < copied) {
            copiesKept++;
            if (copiesArrive == Arrival.ANY_TIME) {
                w.later(LATE_FROM_MS + w.random.nextLong(2 * w.leaseMs()), () -> w.copy(report));
            } else {
                kept.add(new Kept(report, worker, copiesArrive));
            }
        }
        return false;
    }

    /** Somebody has just won the lead: what was kept reaches every node, at once or once the new leader has acted. */
    void led(boolean another, JsonNode lease) {
        reigns += lease.equals(leaseOfLead) ? 0 : 1;
        leaseOfLead = lease;
        if (!another) {
            return;
        }
        List<Kept> now = new ArrayList<>(kept);
        kept.clear();
        for (Kept k : now) {
            long in = k.arrival == Arrival.NEXT_LEADER_HAS_ACTED
                    ? ACTED_MS + w.random.nextInt(ACTED_MORE_MS)
                    : w.random.nextInt(300);
            w.later(in, () -> arrives(k));
        }
    }

    private void arrives(Kept k) {
        JsonNode report = decoded(k.report);
        reportsOfEarlierSessions += report.path("shift").asLong() < k.worker.shift() ? 1 : 0;
        for (JsonNode piece : report.path("pieces")) {
            if (w.toll.newerAttemptThan(
                    TaskId.parse(piece.path("piece").asText()),
                    piece.path("try").asLong())) {
                reportsOfEarlierAttempts++;
                break;
            }
        }
        w.copyToAll(planted == Planted.OLD_REPORTS_SEEM_NEW ? w.copies.forged(w, k.report) : k.report);
    }

    private static JsonNode decoded(byte[] report) {
        try {
            return Codec.decodeMap(report);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- users ----

    /** Users call off that many jobs that run and have long to go, within a fifth of a second; up to eight of their machines hang so long. */
    void cancelNow(int count, long hangMs) {
        List<UserJob> running = new ArrayList<>();
        for (TaskId t : w.running()) {
            UserJob j = w.jobs.get(t.job().text());
            boolean longToGo = j.spec.isService() || w.now - j.startedAt + LONG_TO_GO_MS < 1000 * j.spec.estimateS();
            if (j.accepted && !j.asked && j.told == null && longToGo && !running.contains(j)) {
                running.add(j);
            }
        }
        List<UserJob> chosen = running.subList(0, Math.min(count, running.size()));
        List<String> hung = new ArrayList<>();
        w.eachMachine((worker, reached) -> {
            if (hangMs > 0
                    && hung.size() < MOST_HUNG
                    && worker.onMachine(w.now).stream()
                            .anyMatch(t -> chosen.contains(w.jobs.get(t.job().text())))) {
                hung.add(worker.name);
            }
        });
        longestHangMs = hung.isEmpty() ? longestHangMs : Math.max(longestHangMs, hangMs);
        hung.forEach(h -> w.hang(h, hangMs));
        chosen.forEach(
                j -> w.later(w.random.nextInt(200), () -> w.cancel(j.spec.id().text())));
    }

    /** Users call off that many jobs none of whose tasks runs, while machines fetch the images of some; how many they found. */
    int cancelFetching(int count) {
        List<UserJob> chosen = new ArrayList<>();
        w.eachMachine((worker, reached) -> {
            for (TaskId t : worker.held()) {
                UserJob j = w.jobs.get(t.job().text());
                if (chosen.size() < count && j.startedAt < 0 && j.accepted && !j.asked && !chosen.contains(j)) {
                    chosen.add(j);
                }
            }
        });
        chosen.forEach(j -> w.cancel(j.spec.id().text()));
        return chosen.size();
    }

    /** That share of the jobs that end is called off at the moment of the end. */
    void cancelAtEnd(double share, long forMs) {
        cancelledAtEnd = share;
        cancelledAtEndUntil = w.now + forMs;
    }

    void finished(UserJob j) {
        if (j.done.size() == 1) {
            j.leaderAtFirstEnd = reigns;
        } else if (j.done.size() == j.spec.tasks() && reigns > j.leaderAtFirstEnd) {
            endedAcrossLeaders++;
        }
        if (w.now < cancelledAtEndUntil
                && j.accepted
                && !j.asked
                && j.done.size() == j.spec.tasks()
                && w.random.nextDouble() < cancelledAtEnd) {
            cancelledAtTheEnd++;
            w.later(w.random.nextInt(30), () -> w.cancel(j.spec.id().text()));
        }
    }

    /** Users ask at all nodes, and repeat the submission, within milliseconds of each thing that they are told. */
    void closeLooks(long forMs) {
        closeLooksUntil = w.now + forMs;
    }

    /** Its user has just been told that it is accepted, or over. */
    void told(UserJob j) {
        if (w.now < closeLooksUntil) {
            looks++;
            w.users.lookClosely(j);
        }
    }

    void oddRequests(long forMs) {
        for (long at = 0; at < forMs; at += 1500) {
            w.later(at, w.users::oddRequests);
        }
    }

    // ---- machines ----

    /** So many machines, or that share of them, reach no controller, while commands reach them. */
    void mute(double share, long forMs) {
        List<String> names = new ArrayList<>();
        w.eachMachine((worker, reached) -> {
            if (w.random.nextDouble() < share) {
                names.add(worker.name);
            }
        });
        names.forEach(n -> w.muteMachine(n, forMs));
    }

    /** Machines that hold something. */
    List<String> inUse() {
        List<String> out = new ArrayList<>();
        w.eachMachine((Worker worker, Boolean reached) -> {
            if (!worker.onMachine(w.now).isEmpty()) {
                out.add(worker.name);
            }
        });
        return out;
    }
}
