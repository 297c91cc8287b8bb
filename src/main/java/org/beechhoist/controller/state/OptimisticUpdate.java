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
    private static final int MAX_ATTEMPTS = 6;

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
        void apply(JsonNode before, Completion then) throws MalformedMessageException, RejectedException;
    }

    /** The same, decided at once; null: the record goes. */
    public interface ImmediateEdit {
        ObjectNode apply(JsonNode before) throws MalformedMessageException, RejectedException;
    }

    /** Where an edit's outcome goes. */
    public interface Completion {
        /** @param more what is written in the same transaction, {@code shown} what is answered */
        void complete(ObjectNode value, Consumer<Transaction> more, ObjectNode shown);
    }

    private final int valueBytes;
    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;
    private final TokenBucket writes;

    public OptimisticUpdate(
            ControllerContext context, Settings settings, StoreClient store, TokenBucket requests, TokenBucket writes) {
        this.valueBytes = settings.stateLimits().valueBytes();
        this.context = context;
        this.store = store;
        this.requests = requests;
        this.writes = writes;
    }

    public static ObjectNode error(String text) {
        return Codec.map().put("error", text);
    }

    public static void respondUnavailable(ApiResponder responder) {
        responder.respond(503, error("the state service does not answer, or what it holds is not read yet"));
    }

    /** Answers with the record as it stands then. */
    public void update(String key, ImmediateEdit edit, ApiResponder responder) {
        updateLater(
                key,
                (before, then) -> {
                    ObjectNode next = edit.apply(before);
                    then.complete(next, t -> {}, next == null ? Codec.map() : next);
                },
                responder);
    }

    public void updateLater(String key, Edit edit, ApiResponder responder) {
        updateLater(key, edit, responder, 0);
    }

    private void updateLater(String key, Edit edit, ApiResponder responder, int races) {
        if (!requests.tryTake(context.now(), 1) || races > MAX_ATTEMPTS) {
            respondUnavailable(responder);
            return;
        }
        store.get(key, read -> {
            if (!read.answered()) {
                respondUnavailable(responder);
                return;
            }
            Revision version =
                    read.item() == null ? Revision.ABSENT : read.item().version();
            try {
                edit.apply(read.item() == null ? null : read.item().value(), (value, more, shown) -> {
                    if (value != null && Codec.jsonBytes(value) > valueBytes) {
                        responder.respond(
                                400,
                                error(key + ": with this change it takes more than " + valueBytes
                                        + " bytes, as much as a value may have"));
                        return;
                    }
                    Transaction transaction = new Transaction().guard(key, version);
                    if (value == null) {
                        transaction.delete(key);
                    } else {
                        transaction.put(key, value);
                    }
                    more.accept(transaction);
                    requests.takeOrOverdraw(context.now(), 1);
                    writes.takeOrOverdraw(context.now(), transaction.operationCount());
                    store.commit(transaction, commit -> {
                        if (commit.outcome() == CommitResult.Outcome.COMMITTED) {
                            responder.respond(200, shown);
                        } else if (commit.outcome() == CommitResult.Outcome.CONFLICT) {
                            updateLater(key, edit, responder, races + 1);
                        } else {
                            respondUnavailable(responder);
                        }
                    });
                });
            } catch (MalformedMessageException e) {
                responder.respond(400, error(e.getMessage()));
            } catch (RejectedException e) {
                reject(responder, e);
            }
        });
    }

    static void reject(ApiResponder responder, RejectedException refused) {
        responder.respond(refused.status, error(refused.getMessage()));
    }
}
