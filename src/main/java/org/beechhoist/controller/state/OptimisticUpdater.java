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
 * Applies a user's change to one record with optimistic concurrency: reads the record, edits it and commits it under the version
 * that was read, and starts over if another change was committed first.
 */
public final class OptimisticUpdater {
    private static final int MAX_CONFLICT_COUNT = 6;

    /** Thrown by an edit that rejects the change; carries the HTTP status and the error text of the response. */
    public static final class RejectedException extends Exception {
        private static final long serialVersionUID = 1;
        private final int status;

        /** Creates a rejection with this HTTP status and error text. */
        public RejectedException(int status, String text) {
            super(text, null, false, false);
            this.status = status;
        }
    }

    /** Computes the change of a record, immediately or asynchronously. */
    public interface Edit {
        /**
         * Edits the record.
         *
         * @param before the stored record, or null if there is none
         * @param completion receives the result, immediately or later
         */
        void apply(JsonNode before, Completion completion) throws MalformedMessageException, RejectedException;
    }

    /** Computes the change of a record immediately. */
    public interface ImmediateEdit {
        /** Returns the new record for the stored one (null if there is none); a null result deletes the record. */
        ObjectNode apply(JsonNode before) throws MalformedMessageException, RejectedException;
    }

    /** Receives the result of an edit. */
    public interface Completion {
        /**
         * Commits the result.
         *
         * @param value the new record, or null to delete it
         * @param additions adds further writes to the same transaction
         * @param responseBody the body of the response
         */
        void complete(ObjectNode value, Consumer<Transaction> additions, ObjectNode responseBody);
    }

    private final int maxValueBytes;
    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;
    private final TokenBucket writes;

    /**
     * Creates the updater.
     *
     * @param requests rate limit of requests to the state service
     * @param writes rate limit of writes to the state service
     */
    public OptimisticUpdater(
            ControllerContext context, Settings settings, StoreClient store, TokenBucket requests, TokenBucket writes) {
        this.maxValueBytes = settings.stateLimits().valueBytes();
        this.context = context;
        this.store = store;
        this.requests = requests;
        this.writes = writes;
    }

    /** Returns a response body with this error text. */
    public static ObjectNode errorBody(String text) {
        return Codec.map().put("error", text);
    }

    /** Responds with 503 because the state service does not answer or its records are not read yet. */
    public static void respondUnavailable(ApiResponder responder) {
        responder.respond(503, errorBody("the state service does not answer, or what it holds is not read yet"));
    }

    /** Applies an immediate edit; the response body is the new record. */
    public void update(String key, ImmediateEdit edit, ApiResponder responder) {
        updateAsync(
                key,
                (before, completion) -> {
                    ObjectNode next = edit.apply(before);
                    completion.complete(next, t -> {}, next == null ? Codec.map() : next);
                },
                responder);
    }

    /** Applies an edit that may complete later. */
    public void updateAsync(String key, Edit edit, ApiResponder responder) {
        updateAsync(key, edit, responder, 0);
    }

    private void updateAsync(String key, Edit edit, ApiResponder responder, int conflicts) {
        if (!requests.tryTake(context.now(), 1) || conflicts > MAX_CONFLICT_COUNT) {
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
            Runnable retry = () -> updateAsync(key, edit, responder, conflicts + 1);
            try {
                edit.apply(
                        read.item() == null ? null : read.item().value(),
                        (value, additions, responseBody) ->
                                commit(key, version, value, additions, responseBody, responder, retry));
            } catch (MalformedMessageException e) {
                responder.respond(400, errorBody(e.getMessage()));
            } catch (RejectedException e) {
                reject(responder, e);
            }
        });
    }

    /** Commits the edited record under the version that was read; runs {@code retry} if another update was committed first. */
    private void commit(
            String key,
            Revision version,
            ObjectNode value,
            Consumer<Transaction> additions,
            ObjectNode responseBody,
            ApiResponder responder,
            Runnable retry) {
        if (value != null && Codec.jsonBytes(value) > maxValueBytes) {
            String text = key + ": with this change it takes more than " + maxValueBytes
                    + " bytes, as much as a value may have";
            responder.respond(400, errorBody(text));
            return;
        }
        Transaction transaction = new Transaction().guard(key, version);
        if (value == null) {
            transaction.delete(key);
        } else {
            transaction.put(key, value);
        }
        additions.accept(transaction);
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), transaction.operationCount());
        store.commit(transaction, commit -> {
            if (commit.outcome() == CommitResult.Outcome.COMMITTED) {
                responder.respond(200, responseBody);
            } else if (commit.outcome() == CommitResult.Outcome.CONFLICT) {
                retry.run();
            } else {
                respondUnavailable(responder);
            }
        });
    }

    static void reject(ApiResponder responder, RejectedException rejection) {
        responder.respond(rejection.status, errorBody(rejection.getMessage()));
    }
}
