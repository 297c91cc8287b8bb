package org.beechhoist.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.beechhoist.config.Policy;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.store.JobRecord;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.store.Transaction;
import org.beechhoist.store.WidthRecord;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.ResizeRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Handles resize requests on any node: commits the allowed width, guarded by the job record's version, for the leader to apply. */
final class ResizeHandler {
    private static final Logger LOG = LoggerFactory.getLogger(ResizeHandler.class);
    private static final int MAX_CONFLICT_COUNT = 6;

    /** Reads the stored state of a job; passes null if it could not be read. */
    interface StoredJobReader {
        void read(JobId jobId, Consumer<JobReader.StoredJob> then);
    }

    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final Policy policy;
    private final StoredJobReader reader;
    private final BiConsumer<JobId, ObjectNode> statusDetails;
    private final LongConsumer refuse;

    /** Creates a handler; {@code statusDetails} adds to an open job's state what its record does not have, such as current counts. */
    ResizeHandler(
            ControllerContext context,
            StoreClient store,
            TokenBucket requests,
            TokenBucket writes,
            Policy policy,
            StoredJobReader reader,
            BiConsumer<JobId, ObjectNode> statusDetails,
            LongConsumer refuse) {
        this.context = context;
        this.store = store;
        this.requests = requests;
        this.writes = writes;
        this.policy = policy;
        this.reader = reader;
        this.statusDetails = statusDetails;
        this.refuse = refuse;
    }

    /** Changes the width that the user allows for a job. */
    void resize(long request, JobId jobId, byte[] body) {
        ResizeRequest resize;
        try {
            resize = ResizeRequest.parse(Codec.decodeMap(body));
        } catch (MalformedMessageException e) {
            context.respond(request, 400, JobResponses.error(e.getMessage()));
            return;
        }
        if (!policy.elastic().on()) {
            context.respond(
                    request,
                    409,
                    JobResponses.error(
                            "width: elastic jobs are off; a script that sets elastic = true switches them on"));
            return;
        }
        resize(request, jobId, resize, 0);
    }

    private void resize(long request, JobId jobId, ResizeRequest resize, int conflicts) {
        reader.read(jobId, found -> {
            if (found == null || conflicts > MAX_CONFLICT_COUNT) {
                refuse.accept(request);
                return;
            }
            if (found.status() == null) {
                context.respond(request, 404, JobResponses.error("no such job"));
                return;
            }
            try {
                JobRecord record = found.open() == null
                        ? null
                        : JobRecord.parse(found.open().value());
                String rejection = record == null || record.isCancelled()
                        ? "the job is " + found.status().get("status").asText()
                        : record.spec.isGang()
                                ? "width: a gang's tasks start together"
                                : staleResizeReason(record, resize);
                if (rejection != null) {
                    context.respond(request, 409, JobResponses.error(rejection));
                } else if (record.width != null
                        && resize.number() != null
                        && resize.number() == record.width.number()) {
                    respondResized(request, jobId, (ObjectNode) found.status()); // repeated request
                } else {
                    commitWidth(request, jobId, resize, found.open(), record, conflicts);
                }
            } catch (MalformedMessageException e) {
                LOG.error("job record unreadable: job={} error={}", jobId, e.getMessage());
                refuse.accept(request);
            }
        });
    }

    /** Returns the reason why a numbered resize is rejected as outdated, or null if it is not. */
    private static String staleResizeReason(JobRecord record, ResizeRequest resize) {
        if (record.width == null || resize.number() == null || resize.number() > record.width.number()) {
            return null;
        }
        if (resize.number() < record.width.number()) {
            return "number = " + resize.number() + ": an older resize; the newest is " + record.width.number();
        }
        return resize.width().equals(record.width.allowed())
                ? null
                : "number = " + resize.number() + ": it was another resize; a new one needs a larger number";
    }

    /** Commits the new width, and repeats the resize after a conflict. */
    private void commitWidth(
            long request,
            JobId jobId,
            ResizeRequest resize,
            StoreClient.KeyValue open,
            JobRecord record,
            int conflicts) {
        long number = resize.number() != null ? resize.number() : record.width == null ? 1 : record.width.number() + 1;
        int currentWidth = record.width != null
                ? record.width.target()
                : open.value().path("running").asInt();
        ObjectNode value = ((ObjectNode) open.value()).deepCopy();
        value.set("width", new WidthRecord(resize.width(), number, currentWidth).toNode());
        requests.takeOrOverdraw(context.now(), 1);
        writes.takeOrOverdraw(context.now(), 1);
        String key = JobRecord.openKey(jobId);
        store.commit(new Transaction().guard(key, open.version()).put(key, value), commit -> {
            switch (commit.outcome()) {
                case COMMITTED -> respondResized(request, jobId, JobResponses.openStatus(jobId, value));
                case CONFLICT -> resize(request, jobId, resize, conflicts + 1);
                default -> refuse.accept(request);
            }
        });
    }

    /** Answers with the job's state, as a poll would: the counts in its record may be old. */
    private void respondResized(long request, JobId jobId, ObjectNode state) {
        statusDetails.accept(jobId, state);
        context.respond(request, 200, state);
    }
}
