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

/**
 * A user's change of one record: the record is read, edited and committed under its version, and all that again where another
 * change was committed first.
 */
public final class OptimisticUpdater {
    private static final int MAX_ATTEMPTS = 6;

    /** Thrown by an edit that rejects the change: the HTTP status and the error text of the answer. */
    public static final class RejectedException extends Exception {
        private static final long serialVersionUID = 1;
        private final int status;

        /** Creates a rejection with this HTTP status and error text. */
        public RejectedException(int status, String text) {
            super(text, null, false, false);
            this.status = status;
        }
    }

    /** Decides how the record changes, at once or later. */
    public interface Edit {
        /**
         * Edits the record.
         *
         * @param before the stored record, or null where there is none
         * @param then is called with the result, at once or later
         */
        void apply(JsonNode before, Completion then) throws MalformedMessageException, RejectedException;
    }

    /** Decides at once how the record changes. */
    public interface ImmediateEdit {
        /** Returns the new record for the stored one (null where there is none); null deletes the record. */
        ObjectNode apply(JsonNode before) throws MalformedMessageException, RejectedException;
    }

    /** Receives the result of an edit. */
    public interface Completion {
        /**
         * Commits the result.
         *
         * @param value the new record; null deletes it
         * @param more adds what else is written in the same transaction
         * @param shown the body of the answer
         */
        void complete(ObjectNode value, Consumer<Transaction> more, ObjectNode shown);
    }

    private final int valueBytes;
    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;
    private final TokenBucket writes;

    /**
     * Creates the updater.
     *
     * @param requests tokens for requests to the state service
     * @param writes tokens for the changes that its transactions make
     */
    public OptimisticUpdater(
            ControllerContext context, Settings settings, StoreClient store, TokenBucket requests, TokenBucket writes) {
        this.valueBytes = settings.stateLimits().valueBytes();
        this.context = context;
        this.store = store;
        this.requests = requests;
        this.writes = writes;
    }

    /** Returns the body of an answer with this error text. */
    public static ObjectNode errorBody(String text) {
        return Codec.map().put("error", text);
    }

    /** Answers that the state service does not answer or its records are not read yet. */
    public static void respondUnavailable(ApiResponder responder) {
        responder.respond(503, errorBody("the state service does not answer, or what it holds is not read yet"));
    }

    /** Makes a change that is decided at once; the answer is the record after it. */
    public void update(String key, ImmediateEdit edit, ApiResponder responder) {
        updateAsync(
                key,
                (before, then) -> {
                    ObjectNode next = edit.apply(before);
                    then.complete(next, t -> {}, next == null ? Codec.map() : next);
                },
                responder);
    }

    /** Makes a change that may be decided later. */
    public void updateAsync(String key, Edit edit, ApiResponder responder) {
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
            Runnable again = () -> updateLater(key, edit, responder, races + 1);
            try {
                edit.apply(
                        read.item() == null ? null : read.item().value(),
                        (value, more, shown) -> commit(key, version, value, more, shown, responder, again));
            } catch (MalformedMessageException e) {
                responder.respond(400, errorBody(e.getMessage()));
            } catch (RejectedException e) {
                reject(responder, e);
            }
        });
    }

    /** Commits the edited record under the version that was read; {@code again} is run where another update was committed first. */
    private void commit(
            String key,
            Revision version,
            ObjectNode value,
            Consumer<Transaction> more,
            ObjectNode shown,
            ApiResponder responder,
            Runnable again) {
        if (value != null && Codec.jsonBytes(value) > valueBytes) {
            String text =
                    key + ": with this change it takes more than " + valueBytes + " bytes, as much as a value may have";
            responder.respond(400, errorBody(text));
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
                again.run();
            } else {
                respondUnavailable(responder);
            }
        });
    }

    static void reject(ApiResponder responder, RejectedException refused) {
        responder.respond(refused.status, errorBody(refused.getMessage()));
    }
}
