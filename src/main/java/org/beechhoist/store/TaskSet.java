package org.beechhoist.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.function.BiConsumer;
import java.util.function.IntConsumer;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;
import org.roaringbitmap.RoaringBitmap;

/**
 * A set of task numbers as a compressed bitmap. In a record it stands as runs while they are few, the form that older
 * nodes read too, and beyond that as the bitmap's portable form in Base64: the protocol's values hold no bytes.
 */
public final class TaskSet {
    /** Up to here runs are the shorter form, about 6 bytes each. */
    static final int MAX_RUNS = 64;

    private final RoaringBitmap bits;

    /** An empty set. */
    public TaskSet() {
        this(new RoaringBitmap());
    }

    private TaskSet(RoaringBitmap bits) {
        this.bits = bits;
    }

    /** How many tasks are in it. */
    public int size() {
        return bits.getCardinality();
    }

    /** Whether the task is in it. */
    public boolean contains(int task) {
        return bits.contains(task);
    }

    /** Adds the task; returns whether it was not in the set. */
    public boolean add(int task) {
        return bits.checkedAdd(task);
    }

    /** The first number from {@code task} on that is not in the set. */
    public int nextAbsent(int task) {
        return (int) bits.nextAbsentValue(task);
    }

    TaskSet copy() {
        return new TaskSet(bits.clone());
    }

    TaskSet plus(TaskSet other) {
        return new TaskSet(RoaringBitmap.or(bits, other.bits));
    }

    TaskSet minus(TaskSet other) {
        return new TaskSet(RoaringBitmap.andNot(bits, other.bits));
    }

    void forEach(IntConsumer action) {
        bits.forEach((org.roaringbitmap.IntConsumer) action::accept);
    }

    /** Bytes that its written form takes at most. */
    int maxBytes() {
        int[] n = new int[1];
        return runs(bits, MAX_RUNS, (a, b) -> n[0]++) ? 14 * n[0] : 2 * bits.serializedSizeInBytes() + 20;
    }

    /** Writes the set as {@code done} and, where that is shorter, {@code doneBits}; and its size as {@code doneCount}. */
    void writeTo(ObjectNode record) {
        ArrayNode runs = record.putArray("done");
        if (!runs(bits, MAX_RUNS, (a, b) -> runs.add(a).add(b))) {
            runs.removeAll();
            bits.runOptimize();
            ByteBuffer bytes = ByteBuffer.allocate(bits.serializedSizeInBytes());
            bits.serialize(bytes);
            record.put("doneBits", Base64.getEncoder().encodeToString(bytes.array()));
        }
        record.put("doneCount", size());
    }

    /** Hands over the set's runs; false, with some of them handed over, where there are more than {@code most}. */
    private static boolean runs(RoaringBitmap bits, int most, BiConsumer<Integer, Integer> run) {
        int count = 0;
        for (long start = bits.nextValue(0); start >= 0; count++) {
            if (count == most) {
                return false;
            }
            int end = (int) bits.nextAbsentValue((int) start);
            run.accept((int) start, end - 1);
            start = bits.nextValue(end);
        }
        return true;
    }

    static TaskSet parse(JsonNode record, int tasks) throws MalformedMessageException {
        RoaringBitmap bits = new RoaringBitmap();
        if (!Codec.isAbsent(record, "doneBits")) {
            try {
                bits.deserialize(ByteBuffer.wrap(Base64.getDecoder().decode(Codec.text(record, "doneBits"))));
            } catch (IOException | IllegalArgumentException | java.nio.BufferUnderflowException e) {
                throw new MalformedMessageException("doneBits: a bitmap of task numbers expected");
            }
        } else {
            JsonNode runs = record.get("done");
            if (runs == null || !runs.isArray() || runs.size() % 2 != 0) {
                throw new MalformedMessageException("done: runs expected");
            }
            for (int i = 0; i < runs.size(); i += 2) {
                bits.add(runs.get(i).longValue(), runs.get(i + 1).longValue() + 1);
            }
        }
        if (!bits.isEmpty() && bits.last() >= tasks) {
            throw new MalformedMessageException("done: task " + bits.last() + " of " + tasks);
        }
        return new TaskSet(bits);
    }
}
