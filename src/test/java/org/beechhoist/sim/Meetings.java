package org.beechhoist.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.beechhoist.core.Effect;
import org.beechhoist.peer.PeerState;
import org.beechhoist.standin.Worker;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.TaskId;

/** Troubles that are aimed at what goes on in a world: at commits, reports, ends and changes of leader. */
final class Meetings {
    /** What becomes of a transaction: whether its answer comes, and how much later it is carried out. */
    record Fate(boolean answered, long lateMs) {
        static final Fate USUAL = new Fate(true, 0);
    }

    /** Defects that the checks must find. */
    enum Planted {
        NONE,
        /** Leases are renewed whatever the leader knows of cancellations. */
        RENEWS_BLINDLY,
        /** What another node tells of them is left alone. */
        HINT_IGNORED,
        /** No kill and no return of a machine goes out while commits get no answer. */
        PURSUIT_WAITS
    }

    private static final long LATE_FROM_MS = 2000;
    private static final int LATE_MORE_MS = 10_000;
    private static final int MOST_HUNG = 8;
    private static final long LONG_TO_GO_MS = 5000;

    private final World w;
    Planted planted = Planted.NONE;
    private double lateWrites;
    private boolean atOnce;
    private long lateWritesUntil;
    private double copied;
    private boolean forNext;
    private long copiedUntil;
    private final List<byte[]> kept = new ArrayList<>();
    private double cancelledAtEnd;
    private long cancelledAtEndUntil;
    private long closeLooksUntil;
    private long watchesHangUntil;
    /** What happened. */
    int lateOrLost;
    int copiesKept;
    int cancelledAtTheEnd;
    int looks;
    int reigns;
    private JsonNode leaseOfLead;

    Meetings(World w) {
        this.w = w;
    }

    // ---- planted ----

    /** What a controller tells the others, as they hear it. */
    PeerState heard(PeerState s) {
        return planted != Planted.HINT_IGNORED ? s : new PeerState(s.node(), s.leading(), s.baton(), s.storeAnswersMs(), s.ready(), s.reportsHeard(),
                s.writesWanted(), s.requestsWanted(), s.counts(), List.of());
    }

    /** What a worker is told, as it hears it. */
    Effect.Answer heard(Effect.Answer a, LongSupplier token) {
        if (planted == Planted.RENEWS_BLINDLY && a.status() == 503) {
            return new Effect.Answer(0, 200, Codec.map().put("baton", token.getAsLong()), 0);
        }
        return planted == Planted.PURSUIT_WAITS && a.body() != null ? new Effect.Answer(0, a.status(), withoutKills(a.body()), 0) : a;
    }

    /** Whether a return of machines is kept back. */
    boolean withholdsReturns() {
        return planted == Planted.PURSUIT_WAITS && w.now < lateWritesUntil;
    }

    JsonNode withoutKills(JsonNode body) {
        if (withholdsReturns() && body.path("orders").isArray()) {
            for (var it = body.get("orders").elements(); it.hasNext();) {
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

    // ---- reports ----

    /** Of that share of reports a copy comes again, up to two leases later, or as soon as another node leads. */
    void lateReports(double share, boolean forTheNextLeader, long forMs) {
        w.trouble(forMs);
        copied = share;
        forNext = forTheNextLeader;
        copiedUntil = w.now + forMs;
    }

    void reported(byte[] report) {
        if (w.now >= copiedUntil || w.random.nextDouble() >= copied) {
            return;
        }
        copiesKept++;
        if (forNext) {
            kept.add(report);
        } else {
            w.later(LATE_FROM_MS + w.random.nextLong(2 * w.leaseMs()), () -> w.copy(report));
        }
    }

    /** Somebody has just won the lead: what was kept reaches every node. */
    void led(boolean another, JsonNode lease) {
        reigns += lease.equals(leaseOfLead) ? 0 : 1;
        leaseOfLead = lease;
        if (another && !kept.isEmpty()) {
            List<byte[]> now = new ArrayList<>(kept);
            kept.clear();
            for (byte[] r : now) {
                w.later(w.random.nextInt(300), () -> w.copyToAll(r));
            }
        }
    }

    // ---- users ----

    /** Users call off that many jobs that run and have long to go, within a fifth of a second; up to eight of their machines hang so long. */
    void cancelNow(int count, long hangMs) {
        List<UserJob> running = new ArrayList<>();
        for (TaskId t : w.running()) {
            UserJob j = w.jobs.get(t.job().text());
            boolean longToGo = j.spec.service() || w.now - j.startedAt + LONG_TO_GO_MS < 1000 * j.spec.estimateS();
            if (j.accepted && !j.asked && j.told == null && longToGo && !running.contains(j)) {
                running.add(j);
            }
        }
        List<UserJob> chosen = running.subList(0, Math.min(count, running.size()));
        List<String> hung = new ArrayList<>();
        w.eachMachine((worker, reached) -> {
            if (hangMs > 0 && hung.size() < MOST_HUNG && worker.onMachine(w.now).stream().anyMatch(t -> chosen.contains(w.jobs.get(t.job().text())))) {
                hung.add(worker.name);
            }
        });
        hung.forEach(h -> w.hang(h, hangMs));
        chosen.forEach(j -> w.later(w.random.nextInt(200), () -> w.cancel(j.spec.ref().text())));
    }

    /** That share of the jobs that end is called off at the moment of the end. */
    void cancelAtEnd(double share, long forMs) {
        cancelledAtEnd = share;
        cancelledAtEndUntil = w.now + forMs;
    }

    void finished(UserJob j) {
        if (w.now < cancelledAtEndUntil && j.accepted && !j.asked && j.done.size() == j.spec.tasks() && w.random.nextDouble() < cancelledAtEnd) {
            cancelledAtTheEnd++;
            w.later(w.random.nextInt(30), () -> w.cancel(j.spec.ref().text()));
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
