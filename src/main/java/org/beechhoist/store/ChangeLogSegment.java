package org.beechhoist.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.ToIntFunction;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MalformedMessageException;

/**
 * What changed of many jobs' tasks, in one value: {@code log/<slot>}. Segments are numbered as they are written; a job's
 * record says up to which number it holds what the log says.
 */
public record ChangeLogSegment(long number, Map<JobId, TaskChanges> jobs) {
    public static final String PREFIX = "log/";

    /** The key under which the segment in this slot is stored. */
    public static String key(int slot) {
        return PREFIX + String.format("%04d", slot);
    }

    /** The segment as it is stored. */
    public ObjectNode toNode() {
        ObjectNode node = Codec.map().put("seq", number);
        ObjectNode all = node.putObject("jobs");
        jobs.forEach((jobId, d) -> all.set(jobId.text(), d.toNode()));
        return node;
    }

    /**
     * @param tasks the number of a job's tasks; below 0 for a job that is not open any more: what is said of it is over
     * @param unreadable receives the jobs whose part can't be read
     */
    public static ChangeLogSegment parse(JsonNode node, ToIntFunction<JobId> tasks, Set<JobId> unreadable)
            throws MalformedMessageException {
        if (node == null || !node.path("jobs").isObject()) {
            throw new MalformedMessageException("not a log segment");
        }
        Map<JobId, TaskChanges> jobs = new LinkedHashMap<>();
        for (Map.Entry<String, JsonNode> entry : node.get("jobs").properties()) {
            JobId jobId = new JobId(entry.getKey());
            int count = tasks.applyAsInt(jobId);
            if (count >= 0) {
                try {
                    jobs.put(jobId, TaskChanges.parse(jobId, count, entry.getValue()));
                } catch (MalformedMessageException m) {
                    unreadable.add(jobId);
                }
            }
        }
        return new ChangeLogSegment(Codec.wholeNumber(node, "seq", 1, Long.MAX_VALUE), jobs);
    }

    /** Puts deltas into as few segments as hold them, each within a value's limit. */
    public static final class Writer {
        private final int maxBytes;
        private final List<Map<JobId, TaskChanges>> segments = new ArrayList<>();
        private int bytes;

        /**
         * Begins without segments.
         *
         * @param mostBytes the size that a segment may have
         */
        public Writer(int mostBytes) {
            this.maxBytes = mostBytes;
        }

        /** How many segments there would be with it, too. */
        public int segmentCountWith(JobId jobId, TaskChanges changes) {
            return forEachPart(jobId, changes, (n, part) -> {});
        }

        /** Adds the job's changes, which may take several segments. */
        public void add(JobId jobId, TaskChanges changes) {
            forEachPart(jobId, changes, (segment, part) -> {
                if (segment > segments.size()) {
                    segments.add(new LinkedHashMap<>());
                    bytes = 0;
                }
                bytes += part.maxBytes(jobId);
                segments.get(segment - 1).put(jobId, part);
            });
        }

        /** Hands over each part with the number of segments that it makes; parts of one job never share one. */
        private int forEachPart(JobId jobId, TaskChanges changes, BiConsumer<Integer, TaskChanges> then) {
            int count = segments.size();
            int filled = bytes;
            boolean first = true;
            for (TaskChanges part : changes.split(jobId, maxBytes)) {
                int size = part.maxBytes(jobId);
                boolean fits = first && count > 0 && filled + size <= maxBytes;
                filled = fits ? filled + size : size;
                count += fits ? 0 : 1;
                first = false;
                then.accept(count, part);
            }
            return count;
        }

        /** How many segments the changes added so far take. */
        public int segmentCount() {
            return segments.size();
        }

        /** The segments' jobs, in the order of their numbers. */
        public List<Map<JobId, TaskChanges>> segments() {
            return segments;
        }
    }
}
