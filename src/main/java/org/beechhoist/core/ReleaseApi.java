package org.beechhoist.core;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.LocalDate;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.beechhoist.config.Settings;
import org.beechhoist.cron.Calendar;
import org.beechhoist.cron.ScheduleKeys;
import org.beechhoist.release.Release;
import org.beechhoist.store.Budget;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.StoreClient.Commit;
import org.beechhoist.store.Txn;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.Malformed;
import org.beechhoist.wire.Revision;

/** {@code /v1/releases}: people put, move and remove what makers were promised; every change is a commit with its history. */
final class ReleaseApi {
    static final String PATH = "/v1/releases";
    private static final int MOST_RACES = 6;
    private static final int MOST_RELEASES = 500;
    private static final int MOST_TEXT = 120;

    private interface Edit {
        /** @param open whether a day counts for the lead */
        Release of(Release before, Predicate<LocalDate> open) throws Malformed;
    }

    private final Turn turn;
    private final Settings settings;
    private final StoreClient store;
    private final Budget requests;
    private final Budget writes;
    private final ReleaseBook releases;

    ReleaseApi(Turn turn, Settings settings, StoreClient store, Budget requests, Budget writes, ReleaseBook releases) {
        this.turn = turn;
        this.settings = settings;
        this.store = store;
        this.requests = requests;
        this.writes = writes;
        this.releases = releases;
    }

    private static ObjectNode error(String text) {
        return Codec.map().put("error", text);
    }

    private static void unknown(CronApi.Answer answer) {
        answer.with(503, error("the state service does not answer, or the releases are not read yet"));
    }

    /** @param leader null on a node that does not lead: it knows no plan */
    void request(String method, String path, byte[] body, Leader leader, CronApi.Answer answer) {
        boolean post = method.equals("POST");
        String rest = path.length() > PATH.length() ? path.substring(PATH.length() + 1) : "";
        int slash = rest.lastIndexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        String verb = slash < 0 ? "" : rest.substring(slash + 1);
        try {
            JsonNode n = post ? Codec.decodeMap(body) : null;
            if (rest.isEmpty() && !post) {
                list(leader, path.endsWith("/"), answer);
            } else if (slash < 0 && !post) {
                show(name, answer);
            } else if (verb.equals("put") && post) {
                put(name, n, answer);
            } else if (verb.equals("move") && post) {
                String who = text(n, "who");
                String why = text(n, "why");
                var ship = Release.time("ship", Codec.text(n, "ship"));
                change(name, null, (before, open) -> before.moved(ship, inTime(ship.toString(), Release.due(ship, before.zone(), before.leadDays(), open)), who,
                        turn.wallMs(), why), answer, 0);
            } else if (verb.equals("remove") && post) {
                String who = text(n, "who");
                String why = text(n, "why");
                change(name, null, (before, open) -> before.remove(who, turn.wallMs(), why), answer, 0);
            } else {
                answer.with(404, error("no such path"));
            }
        } catch (Malformed e) {
            answer.with(400, error(e.getMessage()));
        }
    }

    private static String text(JsonNode n, String field) throws Malformed {
        String s = Codec.text(n, field);
        if (s.isBlank() || s.length() > MOST_TEXT) {
            throw new Malformed(field + " = " + s + ": 1 to " + MOST_TEXT + " characters are expected");
        }
        return s;
    }

    private long inTime(String ship, long due) throws Malformed {
        if (due <= turn.wallMs()) {
            throw new Malformed("ship = " + ship + ": a date whose factory moment, less the lead, is yet to come is expected");
        }
        return due;
    }

    private void put(String name, JsonNode n, CronApi.Answer answer) throws Malformed {
        String who = text(n, "who");
        String why = text(n, "why");
        Release described = Release.described(name, n);
        if (described.team() != null && !settings.teams().containsKey(described.team())) {
            throw new Malformed("team = " + described.team() + ": one of " + new TreeSet<>(settings.teams().keySet()) + " is expected");
        }
        if (releases.known(name) == null && releases.size() >= MOST_RELEASES) {
            throw new Malformed("name = " + name + ": at most " + MOST_RELEASES + " releases are allowed, removed ones too");
        }
        change(name, described, (before, open) -> described.put(before, inTime(described.ship().toString(),
                Release.due(described.ship(), described.zone(), described.leadDays(), open)), who, turn.wallMs(), why), answer, 0);
    }

    /** @param described what is put, or null: what stands is changed */
    private void change(String name, Release described, Edit edit, CronApi.Answer answer, int races) {
        if (!requests.tryTake(turn.now(), 1) || races > MOST_RACES) {
            unknown(answer);
            return;
        }
        store.get(ReleaseBook.SETS + name, r -> {
            if (!r.known()) {
                unknown(answer);
                return;
            }
            Release before;
            try {
                before = r.item() == null ? null : Release.parse(r.item().value());
            } catch (Malformed e) {
                answer.with(409, error("the record can't be read: " + e.getMessage()));
                return;
            }
            if (described == null && (before == null || before.removed())) {
                answer.with(404, error("name = " + name + ": the name of a release that stands is expected"));
                return;
            }
            String calendar = described != null ? described.calendar() : before.calendar();
            calendar(calendar, answer, open -> {
                Release next;
                try {
                    next = edit.of(before, open);
                } catch (Malformed e) {
                    answer.with(400, error(e.getMessage()));
                    return;
                }
                Txn txn = new Txn().guard(ReleaseBook.SETS + name, r.item() == null ? Revision.ABSENT : r.item().version())
                        .put(ReleaseBook.SETS + name, next.toNode());
                requests.take(turn.now(), 1);
                writes.take(turn.now(), 1);
                store.commit(txn, c -> {
                    if (c.result() == Commit.Result.DONE) {
                        answer.with(200, next.toNode());
                    } else if (c.result() == Commit.Result.CONFLICT) {
                        change(name, described, edit, answer, races + 1);
                    } else {
                        unknown(answer);
                    }
                });
            });
        });
    }

    /** Hands over which days count by a named calendar; all do without one. */
    private void calendar(String name, CronApi.Answer answer, Consumer<Predicate<LocalDate>> then) {
        if (name == null) {
            then.accept(d -> true);
            return;
        }
        requests.take(turn.now(), 1);
        store.get(ScheduleKeys.CALENDARS + name, r -> {
            if (!r.known()) {
                unknown(answer);
                return;
            }
            try {
                if (r.item() == null) {
                    throw new Malformed("calendar = " + name + ": an installed calendar is expected");
                }
                Calendar c = Calendar.parse(r.item().value(), name);
                then.accept(d -> c.closed(d) == null);
            } catch (Malformed e) {
                answer.with(400, error(e.getMessage()));
            }
        });
    }

    /** @param orderAlone which every node knows; what is done, and when it will be over, is known to the leading one alone */
    private void list(Leader leader, boolean orderAlone, CronApi.Answer answer) {
        if (!releases.read()) {
            unknown(answer);
            return;
        }
        ObjectNode out = Codec.map();
        if (leader != null && !orderAlone) {
            out.set("releases", leader.releases().view(leader.planner()));
            answer.with(200, out);
            return;
        }
        ArrayNode rows = out.putArray("releases");
        List<Release> all = releases.snapshot().all().stream().sorted(Comparator.comparingLong(Release::dueMs).thenComparing(Release::name)).toList();
        all.forEach(r -> rows.addObject().put("name", r.name()).put("maker", r.maker()).put("ship", r.ship().toString()).put("zone", r.zone().getId())
                .put("due", r.dueMs()).put("dueInS", (r.dueMs() - turn.wallMs()) / 1000.0));
        answer.with(orderAlone ? 200 : 421, orderAlone ? out : out.put("error", "this node does not lead: no forecast"));
    }

    private void show(String name, CronApi.Answer answer) {
        Release r = releases.known(name);
        if (!releases.read()) {
            unknown(answer);
        } else if (r == null) {
            answer.with(404, error("no such release"));
        } else {
            requests.take(turn.now(), 1);
            store.get(ReleaseDesk.REORDERED + name, m -> {
                ObjectNode n = r.toNode();
                if (m.item() != null) {
                    n.set("reordered", m.item().value());
                }
                answer.with(200, n);
            });
        }
    }
}
