package org.beechhoist.controller.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.context.ApiResponder;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.StoreClient.CommitResult;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.store.Transaction;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.Revision;

/** A person's change of one record: read, edited and committed under its version, and once more where somebody was quicker. */
public final class OptimisticUpdate {
    private static final int MOST_RACES = 6;

    /** An answer other than that the change is made. */
    public static final class RejectedException extends Exception {
        private static final long serialVersionUID = 1;
        private final int status;

        public RejectedException(int status, String text) {
            super(text, null, false, false);
            this.status = status;
        }
    }

    /** What becomes of the record. */
    public interface Edit {
        /** @param before null where there is none; {@code then} is told, now or later, what it becomes */
        void of(JsonNode before, Completion then) throws MalformedMessageException, RejectedException;
    }

    /** The same, decided at once; null: the record goes. */
    public interface ImmediateEdit {
        ObjectNode of(JsonNode before) throws MalformedMessageException, RejectedException;
    }

    /** Where an edit's outcome goes. */
    public interface Completion {
        /** @param more what is written in the same transaction, {@code shown} what is answered */
        void becomes(ObjectNode value, Consumer<Transaction> more, ObjectNode shown);
    }

    private final int valueBytes;
    private final ControllerContext turn;
    private final StoreClient store;
    private final TokenBucket requests;
    private final TokenBucket writes;

    public OptimisticUpdate(
            ControllerContext turn, Settings settings, StoreClient store, TokenBucket requests, TokenBucket writes) {
        this.valueBytes = settings.stateLimits().valueBytes();
        this.turn = turn;
        this.store = store;
        this.requests = requests;
        this.writes = writes;
    }

    public static ObjectNode error(String text) {
        return Codec.map().put("error", text);
    }

    public static void unknown(ApiResponder answer) {
        answer.respond(503, error("the state service does not answer, or what it holds is not read yet"));
    }

    /** Answers with the record as it stands then. */
    public void now(String key, ImmediateEdit edit, ApiResponder answer) {
        change(
                key,
                (before, then) -> {
                    ObjectNode next = edit.of(before);
                    then.becomes(next, t -> {}, next == null ? Codec.map() : next);
                },
                answer);
    }

    public void change(String key, Edit edit, ApiResponder answer) {
        change(key, edit, answer, 0);
    }

    private void change(String key, Edit edit, ApiResponder answer, int races) {
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
                        answer.respond(
                                400,
                                error(key + ": with this change it takes more than " + valueBytes
                                        + " bytes, as much as a value may have"));
                        return;
                    }
                    Transaction txn = new Transaction().guard(key, version);
                    if (value == null) {
                        txn.delete(key);
                    } else {
                        txn.put(key, value);
                    }
                    more.accept(txn);
                    requests.take(turn.now(), 1);
                    writes.take(turn.now(), txn.ops());
                    store.commit(txn, commit -> {
                        if (commit.result() == CommitResult.Outcome.DONE) {
                            answer.respond(200, shown);
                        } else if (commit.result() == CommitResult.Outcome.CONFLICT) {
                            change(key, edit, answer, races + 1);
                        } else {
                            unknown(answer);
                        }
                    });
                });
            } catch (MalformedMessageException e) {
                answer.respond(400, error(e.getMessage()));
            } catch (RejectedException e) {
                refuse(answer, e);
            }
        });
    }

    static void refuse(ApiResponder answer, RejectedException refused) {
        answer.respond(refused.status, error(refused.getMessage()));
    }
}
