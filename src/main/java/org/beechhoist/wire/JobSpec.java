package org.beechhoist.wire;

import static org.beechhoist.wire.ProtocolFields.ANTI_AFFINITY;
import static org.beechhoist.wire.ProtocolFields.CHECKPOINT_COST_S;
import static org.beechhoist.wire.ProtocolFields.CHECKPOINT_EVERY_S;
import static org.beechhoist.wire.ProtocolFields.CPUS;
import static org.beechhoist.wire.ProtocolFields.DEADLINE_S;
import static org.beechhoist.wire.ProtocolFields.ESTIMATE_S;
import static org.beechhoist.wire.ProtocolFields.GPUS;
import static org.beechhoist.wire.ProtocolFields.IDEMPOTENCY_KEY;
import static org.beechhoist.wire.ProtocolFields.IMAGE;
import static org.beechhoist.wire.ProtocolFields.IMAGE_GB;
import static org.beechhoist.wire.ProtocolFields.JOB_CLASS;
import static org.beechhoist.wire.ProtocolFields.JOB_ID;
import static org.beechhoist.wire.ProtocolFields.KEY_SET;
import static org.beechhoist.wire.ProtocolFields.KEY_SET_BINDING;
import static org.beechhoist.wire.ProtocolFields.MACHINE_TYPES;
import static org.beechhoist.wire.ProtocolFields.MEMORY_GB;
import static org.beechhoist.wire.ProtocolFields.ORIGIN;
import static org.beechhoist.wire.ProtocolFields.PRIORITY;
import static org.beechhoist.wire.ProtocolFields.RELEASE;
import static org.beechhoist.wire.ProtocolFields.SAME_ZONE;
import static org.beechhoist.wire.ProtocolFields.SHAPE;
import static org.beechhoist.wire.ProtocolFields.SPOT;
import static org.beechhoist.wire.ProtocolFields.TASK_COUNT;
import static org.beechhoist.wire.ProtocolFields.TEAM;
import static org.beechhoist.wire.ProtocolFields.WIDTH;
import static org.beechhoist.wire.ProtocolFields.ZONE;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** What a user submitted: {@code POST /v1/jobs}. */
public record JobSpec(
        JobId id,
        String jobClass,
        String team,
        Shape shape,
        Priority priority,
        int tasks,
        double cpus,
        double gpus,
        double memGb,
        String image,
        double imageGb,
        List<String> machineTypes,
        String zone,
        boolean sameZone,
        boolean antiAffinity,
        boolean spot,
        double estimateS,
        double checkpointEveryS,
        double checkpointCostS,
        Double deadlineS,
        Width width,
        String idempotencyKey,
        String origin,
        String keySet,
        KeySetBinding keySetBinding,
        String release) {
    /** What binds a job's tasks together. */
    public enum Shape {
        /** Independent tasks, each runs to completion. */
        ARRAY("array"),
        /** Tasks that start together or not at all; the platform's newer users submit them. */
        GANG("gang"),
        /** Replicas that run until the job is cancelled. */
        SERVICE("standing");

        private final String text;

        Shape(String text) {
            this.text = text;
        }

        private static Shape parse(String text) throws MalformedMessageException {
            for (Shape shape : values()) {
                if (shape.text.equals(text)) {
                    return shape;
                }
            }
            throw new MalformedMessageException("shape: unknown value");
        }
    }

    /** The most tasks that a job may have. */
    public static final int MAX_TASKS = 100_000;

    private static final int MAX_NAME = 200;

    /** Reads the body of {@code POST /v1/jobs}, or the description within a stored record. */
    public static JobSpec parse(JsonNode node) throws MalformedMessageException {
        String ref = Codec.text(node, JOB_ID);
        if (!JobId.isValid(ref)) {
            throw new MalformedMessageException("ref: job- and digits expected");
        }
        Shape shape = Shape.parse(Codec.text(node, SHAPE));
        checkWidthAllowed(node, shape);
        return new JobSpec(
                new JobId(ref),
                name(node, JOB_CLASS),
                name(node, TEAM),
                shape,
                Priority.parse(Codec.text(node, PRIORITY)),
                (int) Codec.wholeNumber(node, TASK_COUNT, 1, MAX_TASKS),
                Codec.number(node, CPUS, 0),
                Codec.number(node, GPUS, 0),
                Codec.number(node, MEMORY_GB, 0),
                name(node, IMAGE),
                Codec.number(node, IMAGE_GB, 0),
                Codec.isAbsent(node, MACHINE_TYPES) ? null : Codec.textList(node.get(MACHINE_TYPES), MACHINE_TYPES),
                optionalName(node, ZONE),
                Codec.bool(node, SAME_ZONE),
                Codec.bool(node, ANTI_AFFINITY),
                Codec.bool(node, SPOT),
                Codec.number(node, ESTIMATE_S, 0),
                Codec.number(node, CHECKPOINT_EVERY_S, 0),
                Codec.number(node, CHECKPOINT_COST_S, 0),
                Codec.isAbsent(node, DEADLINE_S) ? null : Codec.number(node, DEADLINE_S, 0),
                Codec.isAbsent(node, WIDTH) ? null : Width.parse(node.get(WIDTH), WIDTH),
                optionalName(node, IDEMPOTENCY_KEY),
                optionalName(node, ORIGIN),
                optionalName(node, KEY_SET),
                Codec.isAbsent(node, KEY_SET_BINDING) ? null : KeySetBinding.parse(node.get(KEY_SET_BINDING)),
                optionalName(node, RELEASE));
    }

    private static void checkWidthAllowed(JsonNode node, Shape shape) throws MalformedMessageException {
        if (!Codec.isAbsent(node, WIDTH) && shape != Shape.ARRAY) {
            throw new MalformedMessageException("width: only an array may carry one; "
                    + (shape == Shape.GANG
                            ? "a gang's tasks start together"
                            : "a standing job's replicas are resized once it is accepted"));
        }
    }

    /** A job as a person describes it: what is left out has a default. */
    public static ObjectNode withDefaults(JsonNode given) {
        ObjectNode all = Codec.map()
                .put(JOB_CLASS, "any")
                .put(SHAPE, "array")
                .put(PRIORITY, "normal")
                .put(TASK_COUNT, 1)
                .put(GPUS, 0)
                .put(IMAGE_GB, 0)
                .put(SAME_ZONE, false)
                .put(ANTI_AFFINITY, false)
                .put(SPOT, true)
                .put(ESTIMATE_S, 60)
                .put(CHECKPOINT_EVERY_S, 0)
                .put(CHECKPOINT_COST_S, 0);
        given.fields().forEachRemaining(e -> all.set(e.getKey(), e.getValue()));
        return all;
    }

    private static String optionalName(JsonNode node, String field) throws MalformedMessageException {
        return Codec.isAbsent(node, field) ? null : name(node, field);
    }

    private static String name(JsonNode node, String field) throws MalformedMessageException {
        String text = Codec.text(node, field);
        if (text.length() > MAX_NAME) {
            throw new MalformedMessageException(field + ": longer than " + MAX_NAME);
        }
        return text;
    }

    /** The description in the protocol's field names, as it is sent and stored. */
    public ObjectNode toNode() {
        ObjectNode node = Codec.map();
        node.put(JOB_ID, id.text())
                .put(JOB_CLASS, jobClass)
                .put(TEAM, team)
                .put(SHAPE, shape.text)
                .put(PRIORITY, priority.text())
                .put(TASK_COUNT, tasks)
                .put(CPUS, cpus)
                .put(GPUS, gpus)
                .put(MEMORY_GB, memGb)
                .put(IMAGE, image)
                .put(IMAGE_GB, imageGb);
        if (machineTypes == null) {
            node.putNull(MACHINE_TYPES);
        } else {
            ArrayNode types = node.putArray(MACHINE_TYPES);
            machineTypes.forEach(types::add);
        }
        node.put(ZONE, zone)
                .put(SAME_ZONE, sameZone)
                .put(ANTI_AFFINITY, antiAffinity)
                .put(SPOT, spot)
                .put(ESTIMATE_S, estimateS)
                .put(CHECKPOINT_EVERY_S, checkpointEveryS)
                .put(CHECKPOINT_COST_S, checkpointCostS)
                .put(DEADLINE_S, deadlineS);
        putOptionalFields(node);
        return node;
    }

    private void putOptionalFields(ObjectNode node) {
        if (width != null) {
            node.set(WIDTH, width.toNode());
        }
        if (idempotencyKey != null) {
            node.put(IDEMPOTENCY_KEY, idempotencyKey);
        }
        if (origin != null) {
            node.put(ORIGIN, origin);
        }
        if (keySet != null) {
            node.put(KEY_SET, keySet);
        }
        if (keySetBinding != null) {
            node.set(KEY_SET_BINDING, keySetBinding.toNode());
        }
        if (release != null) {
            node.put(RELEASE, release);
        }
    }

    /** The same job without a width of its own. */
    public JobSpec withoutWidth() {
        return width == null ? this : with(null, idempotencyKey, origin, keySet, keySetBinding);
    }

    /** The same job without its idempotency key. */
    public JobSpec withoutIdempotencyKey() {
        return idempotencyKey == null ? this : with(width, null, origin, keySet, keySetBinding);
    }

    /**
     * The same job, submitted by a schedule.
     *
     * @param from the table, line and time that it comes from; null for a user's own submission
     */
    public JobSpec withOrigin(String where) {
        return with(width, idempotencyKey, where, keySet, keySetBinding);
    }

    /** The same job bound to this version of its key set, or to none. */
    public JobSpec withKeySetBinding(KeySetBinding to) {
        return with(width, idempotencyKey, origin, keySet, to);
    }

    /** The same job without a key set and without a binding to one. */
    public JobSpec withoutKeySet() {
        return keySet == null && keySetBinding == null ? this : with(width, idempotencyKey, origin, null, null);
    }

    /** The same job, counted for no release. */
    public JobSpec withoutRelease() {
        return release == null ? this : with(width, idempotencyKey, origin, keySet, keySetBinding, null);
    }

    private JobSpec with(Width newWidth, String once, String from, String set, KeySetBinding to) {
        return with(newWidth, once, from, set, to, release);
    }

    private JobSpec with(Width newWidth, String once, String from, String set, KeySetBinding to, String ships) {
        return new JobSpec(
                id,
                jobClass,
                team,
                shape,
                priority,
                tasks,
                cpus,
                gpus,
                memGb,
                image,
                imageGb,
                machineTypes,
                zone,
                sameZone,
                antiAffinity,
                spot,
                estimateS,
                checkpointEveryS,
                checkpointCostS,
                deadlineS,
                newWidth,
                once,
                from,
                set,
                to,
                ships);
    }

    /** Whether its tasks run until they are stopped. */
    public boolean isService() {
        return shape == Shape.SERVICE;
    }

    /** Whether its tasks start together or not at all (gang scheduling). */
    public boolean isGang() {
        return shape == Shape.GANG;
    }

    /** Whether one of its tasks fits on an empty machine of this type, and the type is among those it names. */
    public boolean fitsType(MachineType type) {
        return (machineTypes == null || machineTypes.contains(type.name()))
                && cpus <= type.cpus()
                && gpus <= type.gpus()
                && memGb <= type.memGb();
    }

    /** Whether one of its tasks may run on such a machine, its other tasks left aside. */
    public boolean mayRunOn(MachineType type, String machineZone, boolean machineSpot) {
        return fitsType(type) && (spot || !machineSpot) && (zone == null || zone.equals(machineZone));
    }

    /** Whether some machine that this job allows is offered where it may run. */
    public boolean fitsAnyType(Iterable<MachineType> types) {
        for (MachineType type : types) {
            if (fitsType(type) && (zone == null || type.zones().contains(zone))) {
                return true;
            }
        }
        return false;
    }
}
