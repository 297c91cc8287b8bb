package org.beechhoist.controller.worker;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.beechhoist.controller.worker.Reconciliation.Decision;
import org.beechhoist.controller.worker.Reconciliation.RecordedState;
import org.beechhoist.controller.worker.Reconciliation.ReportedState;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.Heartbeat;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.TaskId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A job of two tasks whose team may run one at a time, two machines, controllers that take over from one another, and the
 * store: every order of take-over, late launch, lost answer, late report, session change and end, breadth first, over
 * {@link Reconciliation} and {@link AbsenceEvidence} themselves. With a defect planted in what is made of them it must be found.
 */
class ReconciliationModelTest {
    /** What somebody might get wrong. */
    enum Defect {
        ABSENCE_FROM_ANY_REPORT,
        ATTEMPT_REUSED,
        LAUNCH_BEFORE_COMMIT,
        LIMIT_FORGOTTEN_IN_DOUBT
    }

    private static final int MOST_STATES = 400_000;
    private static final int TASKS = 2;
    private static final int HOSTS = 2;

    /** Where a task may be, as the store holds it; the rest is what this leadership knows of the launch. */
    private static final class Place {
        int attempt;
        int host;
        boolean sent;
        long provenFrom;
        long shift;
        long counter;

        Place copy() {
            Place p = new Place();
            p.attempt = attempt;
            p.host = host;
            p.sent = sent;
            p.provenFrom = provenFrom;
            p.shift = shift;
            p.counter = counter;
            return p;
        }

        String text() {
            return attempt + "@" + host + (sent ? "s" : "") + provenFrom + "," + shift + "," + counter;
        }
    }

    private record Launch(int host, long token, long shift, int task, int attempt) {}

    /** Tasks by attempt; an ended one stays until it is forgotten. */
    private record Report(int host, long shift, long counter, long token, TreeMap<Integer, String> tasks) {}

    /** One state of the world; steps copy it. */
    private static final class State {
        long rev = 1;
        int next = 1;
        final Place[] stored = new Place[TASKS];
        final boolean[] done = new boolean[TASKS];
        // the leader's book; a take-over makes it anew
        final Place[] book = new Place[TASKS];
        boolean leads;
        final boolean[] known = new boolean[HOSTS];
        final long[] knownShift = new long[HOSTS];
        final long[] knownCounter = new long[HOSTS];
        final long[] limbo = new long[HOSTS];
        final boolean[] out = new boolean[HOSTS];
        // machines
        final long[] shift = {1, 1};
        final long[] counter = new long[HOSTS];
        final long[] token = new long[HOSTS];
        final List<TreeMap<Integer, String>> on = new ArrayList<>(List.of(new TreeMap<>(), new TreeMap<>()));
        final List<Launch> flying = new ArrayList<>();
        Report held;
        final Set<Integer> begun = new HashSet<>();
        String wrong;
        String how = "";

        State copy(String step) {
            State s = new State();
            s.rev = rev;
            s.next = next;
            for (int i = 0; i < TASKS; i++) {
                s.stored[i] = stored[i] == null ? null : stored[i].copy();
                s.book[i] = book[i] == null ? null : book[i].copy();
                s.done[i] = done[i];
            }
            s.leads = leads;
            for (int h = 0; h < HOSTS; h++) {
                s.known[h] = known[h];
                s.knownShift[h] = knownShift[h];
                s.knownCounter[h] = knownCounter[h];
                s.limbo[h] = limbo[h];
                s.out[h] = out[h];
                s.shift[h] = shift[h];
                s.counter[h] = counter[h];
                s.token[h] = token[h];
                s.on.set(h, new TreeMap<>(on.get(h)));
            }
            s.flying.addAll(flying);
            s.held = held;
            s.begun.addAll(begun);
            s.how = how + " " + step;
            return s;
        }

        String key() {
            StringBuilder b =
                    new StringBuilder().append(rev).append(' ').append(next).append(leads);
            for (int i = 0; i < TASKS; i++) {
                b.append('|')
                        .append(stored[i] == null ? "" : stored[i].attempt + "@" + stored[i].host)
                        .append(done[i])
                        .append(book[i] == null ? "" : book[i].text());
            }
            for (int h = 0; h < HOSTS; h++) {
                b.append('|')
                        .append(known[h])
                        .append(knownShift[h])
                        .append(',')
                        .append(knownCounter[h])
                        .append(',')
                        .append(limbo[h])
                        .append(out[h])
                        .append(shift[h])
                        .append(',')
                        .append(counter[h])
                        .append(',')
                        .append(token[h])
                        .append(on.get(h));
            }
            return b.append(flying).append(held).append(begun).toString();
        }

        private Report report(int h) {
            counter[h]++;
            return new Report(h, shift[h], counter[h], token[h], new TreeMap<>(on.get(h)));
        }

        private int running(int task) {
            return (int) on.stream()
                    .flatMap(m -> m.values().stream())
                    .filter(v -> v.equals(task + " runs"))
                    .count();
        }

        private void begins(int h, int task, int attempt) {
            if (on.get(h).containsKey(attempt)) {
                return;
            }
            if (running(task) > 0) {
                wrong = "task " + task + " runs twice";
            }
            if (running(0) + running(1) >= 1) {
                wrong = wrong == null ? "the team's limit is broken" : wrong;
            }
            if (!begun.add(attempt)) {
                wrong = "attempt " + attempt + " begins a second time";
            }
            on.get(h).put(attempt, task + " runs");
        }
    }

    private Defect defect;

    private static Heartbeat real(Report r) {
        return new Heartbeat(
                new MachineId("m" + r.host),
                "a",
                "t",
                "z",
                false,
                r.shift,
                r.counter,
                new FencingToken(r.token),
                null,
                List.of());
    }

    private static ReportedState said(String state) {
        Heartbeat.TaskState s = state.endsWith("runs") ? Heartbeat.TaskState.RUNNING : Heartbeat.TaskState.EXITED;
        String cause = state.endsWith("runs") ? null : state.substring(2);
        return ReportedState.of(new Heartbeat.TaskStatus(TaskId.parse("job-1/" + state.charAt(0)), 1, s, cause, false));
    }

    /** What the leader makes of a report; the kills and forgets that answer it. */
    private List<Integer> square(State s, Report r) {
        List<Integer> orders = new ArrayList<>();
        int h = r.host;
        boolean fresh = !s.known[h]
                || r.shift > s.knownShift[h]
                || (r.shift == s.knownShift[h] && r.counter > s.knownCounter[h]);
        if (!fresh) {
            return orders;
        }
        s.known[h] = true;
        s.knownShift[h] = r.shift;
        s.knownCounter[h] = r.counter;
        AbsenceEvidence.PendingCommands inFlight =
                new AbsenceEvidence.PendingCommands(s.out[h], new FencingToken(s.limbo[h]));
        boolean mayForget = inFlight.noneExecutableAfter(new FencingToken(r.token));
        r.tasks.forEach((attempt, state) -> {
            int task = state.charAt(0) - '0';
            Place p = s.book[task];
            RecordedState stored = p == null
                    ? s.done[task] ? RecordedState.DONE : RecordedState.NOT_PLACED
                    : p.attempt > attempt
                            ? RecordedState.PLACED_NEWER_ATTEMPT
                            : p.attempt < attempt || p.host != h
                                    ? RecordedState.PLACED_INCONSISTENT
                                    : RecordedState.PLACED;
            Decision d = Reconciliation.decide(stored, said(state), AbsenceEvidence.NONE, mayForget);
            switch (d) {
                case KILL, FORGET -> orders.add(attempt);
                case COMPLETE -> {
                    s.done[task] = true;
                    s.book[task] = null;
                    s.stored[task] = null;
                }
                case RECORD_FAILURE, RESCHEDULE -> s.book[task] = null;
                default -> {}
            }
        });
        for (int t = 0; t < TASKS; t++) {
            Place p = s.book[t];
            if (p != null && p.host == h && !r.tasks.containsKey(p.attempt)) {
                AbsenceEvidence e = AbsenceEvidence.of(
                        new AbsenceEvidence.Launch(p.sent, new FencingToken(p.provenFrom), p.shift, p.counter),
                        inFlight,
                        real(r));
                e = defect == Defect.ABSENCE_FROM_ANY_REPORT ? AbsenceEvidence.NEWER_HEARTBEAT : e;
                if (Reconciliation.decide(RecordedState.PLACED, ReportedState.ABSENT, e, false) == Decision.REMOVE) {
                    s.book[t] = null;
                }
            }
        }
        return orders;
    }

    private void steps(State s, Consumer<State> then) {
        if (s.rev < 4) {
            State n = s.copy("takeOver");
            n.rev++;
            n.leads = true;
            for (int t = 0; t < TASKS; t++) {
                n.book[t] = n.stored[t] == null ? null : n.stored[t].copy();
                if (n.book[t] != null) {
                    n.book[t].sent = true;
                    n.book[t].provenFrom = n.rev;
                    n.book[t].shift = 0;
                    n.book[t].counter = 0;
                }
            }
            for (int h = 0; h < HOSTS; h++) {
                n.known[h] = false;
                n.knownShift[h] = 0;
                n.knownCounter[h] = 0;
                n.limbo[h] = 0;
                n.out[h] = false;
            }
            then.accept(n);
        }
        for (int h = 0; h < HOSTS; h++) {
            machine(s, h, then);
            for (int t = 0; t < TASKS; t++) {
                place(s, t, h, then);
            }
        }
        for (int i = 0; i < s.flying.size(); i++) {
            late(s, i, then);
        }
        if (s.held != null && s.leads) {
            State n = s.copy("heldReport" + s.held.host);
            square(n, s.held); // nobody waits for the answer any more
            n.held = null;
            then.accept(n);
        }
    }

    private void machine(State s, int h, Consumer<State> then) {
        if (s.leads) {
            for (boolean answered : new boolean[] {true, false}) {
                State n = s.copy("report" + h + (answered ? "" : "Unanswered"));
                List<Integer> orders = square(n, n.report(h));
                if (answered) {
                    n.token[h] = n.rev;
                    orders.forEach(a -> n.on.get(h).remove(a));
                }
                then.accept(n);
            }
        }
        if (s.held == null) {
            State n = s.copy("held" + h);
            n.held = n.report(h);
            then.accept(n);
        }
        if (s.shift[h] < 2) {
            State n = s.copy("lapse" + h);
            n.shift[h]++;
            n.on.get(h).clear();
            then.accept(n);
        }
        s.on.get(h).forEach((attempt, state) -> {
            if (state.endsWith("runs")) {
                for (String end : new String[] {"done", "error"}) {
                    State n = s.copy(end + h);
                    n.on.get(h).put(attempt, state.charAt(0) + " " + end);
                    then.accept(n);
                }
            }
        });
        if (s.out[h]) {
            State n = s.copy("giveUp" + h);
            n.out[h] = false;
            n.limbo[h] = n.rev;
            then.accept(n);
        }
    }

    private void place(State s, int t, int h, Consumer<State> then) {
        int counted = 0;
        for (Place p : s.book) {
            boolean doubt = p != null && p.provenFrom > 0;
            counted += p == null || (defect == Defect.LIMIT_FORGOTTEN_IN_DOUBT && doubt) ? 0 : 1;
        }
        if (!s.leads || !s.known[h] || s.out[h] || s.done[t] || s.book[t] != null || counted > 0 || s.next > 3) {
            return;
        }
        State n = s.copy("place" + t + "on" + h);
        Place p = new Place();
        p.attempt = defect == Defect.ATTEMPT_REUSED ? t + 1 : n.next;
        n.next++;
        p.host = h;
        p.sent = true;
        p.shift = n.knownShift[h];
        p.counter = n.knownCounter[h];
        n.book[t] = p;
        if (defect != Defect.LAUNCH_BEFORE_COMMIT) {
            n.stored[t] = p.copy();
        }
        n.flying.add(new Launch(h, n.rev, p.shift, t, p.attempt));
        n.out[h] = true;
        then.accept(n);
    }

    /** A launch arrives, sooner or later, with or without its answer. */
    private void late(State s, int i, Consumer<State> then) {
        Launch l = s.flying.get(i);
        boolean executed = l.token >= s.token[l.host] && l.shift == s.shift[l.host];
        for (boolean answered : new boolean[] {false, true}) {
            if (answered && !(s.out[l.host] && l.token == s.rev)) {
                continue;
            }
            State n = s.copy("launch" + l.task + "on" + l.host + (answered ? "Answered" : ""));
            n.flying.remove(i);
            if (executed) {
                n.token[l.host] = l.token;
                n.begins(l.host, l.task, l.attempt);
            }
            if (answered) {
                n.out[l.host] = false;
                Place p = n.book[l.task];
                if (p != null && p.attempt == l.attempt && executed) {
                    Report r = n.report(l.host);
                    p.shift = r.shift;
                    p.counter = r.counter;
                    n.knownShift[l.host] = r.shift;
                    n.knownCounter[l.host] = r.counter;
                } else if (p != null && p.attempt == l.attempt) {
                    n.book[l.task] = null; // refused: it was never there
                }
            }
            then.accept(n);
        }
    }

    /** The first state in which something is wrong, or null; {@code seen} receives how many were looked at. */
    private State search(int[] seen) {
        Set<String> known = new HashSet<>();
        ArrayDeque<State> next = new ArrayDeque<>(List.of(new State()));
        State[] bad = new State[1];
        while (!next.isEmpty() && bad[0] == null && known.size() < MOST_STATES) {
            steps(next.poll(), n -> {
                if (n.wrong != null && bad[0] == null) {
                    bad[0] = n;
                } else if (known.add(n.key())) {
                    next.add(n);
                }
            });
        }
        seen[0] = known.size();
        return bad[0];
    }

    @Test
    void nothingRunsTwiceInAnyOrderOfEvents() {
        int[] seen = new int[1];
        State bad = search(seen);
        assertNull(bad, () -> bad.wrong + ":" + bad.how);
        assertTrue(seen[0] >= MOST_STATES, seen[0] + " states");
    }

    @ParameterizedTest
    @EnumSource(Defect.class)
    void aPlantedDefectIsFound(Defect planted) {
        defect = planted;
        int[] seen = new int[1];
        assertNotNull(search(seen), planted + " was not found in " + seen[0] + " states");
    }
}
