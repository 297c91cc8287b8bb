package org.beechhoist.core;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;
import org.beechhoist.config.Settings;
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

    /** What becomes of the record. */
    interface Edit {
        /** @param before null where there is none; {@code then} is told, now or later, what it becomes */
        void of(JsonNode before, Then then) throws Malformed, Refused;
    }

    /** The same, decided at once; null: the record goes. */
    interface Now {
        ObjectNode of(JsonNode before) throws Malformed, Refused;
    }

    /** Where an edit's outcome goes. */
    interface Then {
        /** @param more what is written in the same transaction, {@code shown} what is answered */
        void becomes(ObjectNode value, Consumer<Txn> more, ObjectNode shown);
    }

    private final int valueBytes;
    private final Turn turn;
    private final StoreClient store;
    private final Budget requests;
    private final Budget writes;

    Amending(Turn turn, Settings settings, StoreClient store, Budget requests, Budget writes) {
        this.valueBytes = settings.stateLimits().valueBytes();
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
    void now(String key, Now edit, CronApi.Answer answer) {
        change(
                key,
                (before, then) -> {
                    ObjectNode next = edit.of(before);
                    then.becomes(next, t -> {}, next == null ? Codec.map() : next);
                },
                answer);
    }

    void change(String key, Edit edit, CronApi.Answer answer) {
        change(key, edit, answer, 0);
    }

    private void change(String key, Edit edit, CronApi.Answer answer, int races) {
        if (!requests.tryTake(turn.now(), 1) || races > MOST_RACES) {
            unknown(answer);
            return;
        }
        store.get(key, read -> {
            if (!read.known()) {
                unknown(answer);
                return;
            }
            Revision version =
                    read.item() == null ? Revision.ABSENT : read.item().version();
            try {
                edit.of(read.item() == null ? null : read.item().value(), (value, more, shown) -> {
                    if (value != null && Codec.countedBytes(value) > valueBytes) {
                        answer.with(
                                400,
                                error(key + ": with this change it takes more than " + valueBytes
                                        + " bytes, as much as a value may have"));
                        return;
                    }
                    Txn txn = new Txn().guard(key, version);
                    if (value == null) {
                        txn.delete(key);
                    } else {
                        txn.put(key, value);
                    }
                    more.accept(txn);
                    requests.take(turn.now(), 1);
                    writes.take(turn.now(), txn.ops());
                    store.commit(txn, commit -> {
                        if (commit.result() == Commit.Result.DONE) {
                            answer.with(200, shown);
                        } else if (commit.result() == Commit.Result.CONFLICT) {
                            change(key, edit, answer, races + 1);
                        } else {
                            unknown(answer);
                        }
                    });
                });
            } catch (Malformed e) {
                answer.with(400, error(e.getMessage()));
            } catch (Refused e) {
                refuse(answer, e);
            }
        });
    }

    static void refuse(CronApi.Answer answer, Refused refused) {
        answer.with(refused.status, error(refused.getMessage()));
    }
}
