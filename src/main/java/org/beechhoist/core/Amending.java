package org.beechhoist.core;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.beechhoist.store.Budget;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.StoreClient.Commit;
import org.beechhoist.store.Txn;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.Malformed;
import org.beechhoist.wire.Revision;

/** A person's change of one record: read, edited and committed under its version, and once more where somebody was quicker. */
final class Amending {
    private static final int MOST_RACES = 6;

    /** An answer other than that the change is made. */
    static final class Refused extends Exception {
        private static final long serialVersionUID = 1;
        private final int status;

        Refused(int status, String text) {
            super(text, null, false, false);
            this.status = status;
        }
    }

    /** What becomes of the record; {@code before} is null where there is none, and so is what it becomes where it goes. */
    interface Edit {
        ObjectNode of(JsonNode before) throws Malformed, Refused;
    }

    private final Turn turn;
    private final StoreClient store;
    private final Budget requests;
    private final Budget writes;

    Amending(Turn turn, StoreClient store, Budget requests, Budget writes) {
        this.turn = turn;
        this.store = store;
        this.requests = requests;
        this.writes = writes;
    }

    static ObjectNode error(String text) {
        return Codec.map().put("error", text);
    }

    static void unknown(CronApi.Answer answer) {
        answer.with(503, error("the state service does not answer, or what it holds is not read yet"));
    }

    /** Answers with the record as it stands then. */
    void change(String key, Edit edit, CronApi.Answer answer) {
        change(key, edit, answer, 0);
    }

    private void change(String key, Edit edit, CronApi.Answer answer, int races) {
        if (!requests.tryTake(turn.now(), 1) || races > MOST_RACES) {
            unknown(answer);
            return;
        }
        store.get(key, r -> {
            if (!r.known()) {
                unknown(answer);
                return;
            }
            ObjectNode next;
            try {
                next = edit.of(r.item() == null ? null : r.item().value());
            } catch (Malformed e) {
                answer.with(400, error(e.getMessage()));
                return;
            } catch (Refused e) {
                answer.with(e.status, error(e.getMessage()));
                return;
            }
            Txn txn = new Txn().guard(key, r.item() == null ? Revision.ABSENT : r.item().version());
            if (next == null) {
                txn.delete(key);
            } else {
                txn.put(key, next);
            }
            requests.take(turn.now(), 1);
            writes.take(turn.now(), 1);
            store.commit(txn, c -> {
                if (c.result() == Commit.Result.DONE) {
                    answer.with(200, next == null ? Codec.map() : next);
                } else if (c.result() == Commit.Result.CONFLICT) {
                    change(key, edit, answer, races + 1);
                } else {
                    unknown(answer);
                }
            });
        });
    }
}
