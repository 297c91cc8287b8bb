package org.beechhoist.wire;

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

    public static final int MAX_TASKS = 100_000;
    private static final int MAX_NAME = 200;

    public static JobSpec parse(JsonNode node) throws MalformedMessageException {
        String ref = Codec.text(node, "ref");
        if (!JobId.isValid(ref)) {
            throw new MalformedMessageException("ref: job- and digits expected");
        }
        Shape shape = Shape.parse(Codec.text(node, "shape"));
        if (!Codec.isAbsent(node, "width") && shape != Shape.ARRAY) {
            throw new MalformedMessageException("width: only an array may carry one; "
                    + (shape == Shape.GANG
                            ? "a gang's tasks start together"
                            : "a standing job's replicas are resized once it is accepted"));
        }
        List<String> types =
                Codec.isAbsent(node, "hosttypes") ? null : Codec.textList(node.get("hosttypes"), "hosttypes");
        return new JobSpec(
                new JobId(ref),
                name(node, "jobclass"),
                name(node, "owner"),
                shape,
                Priority.parse(Codec.text(node, "urgency")),
                (int) Codec.wholeNumber(node, "pieces", 1, MAX_TASKS),
                Codec.number(node, "cores", 0),
                Codec.number(node, "accelerators", 0),
                Codec.number(node, "memGb", 0),
                name(node, "bundle"),
                Codec.number(node, "pullGb", 0),
                types,
                Codec.isAbsent(node, "yard") ? null : name(node, "yard"),
                Codec.bool(node, "samePlace"),
                Codec.bool(node, "apart"),
                Codec.bool(node, "loaner"),
                Codec.number(node, "guessS", 0),
                Codec.number(node, "snapshotEveryS", 0),
                Codec.number(node, "snapshotCostS", 0),
                Codec.isAbsent(node, "dueS") ? null : Codec.number(node, "dueS", 0),
                Codec.isAbsent(node, "width") ? null : Width.parse(node.get("width"), "width"),
                Codec.isAbsent(node, "onceKey") ? null : name(node, "onceKey"),
                Codec.isAbsent(node, "origin") ? null : name(node, "origin"),
                Codec.isAbsent(node, "keySet") ? null : name(node, "keySet"),
                Codec.isAbsent(node, "pin") ? null : KeySetBinding.parse(node.get("pin")),
                Codec.isAbsent(node, "release") ? null : name(node, "release"));
    }

    /** A job as a person describes it: what is left out has a default. */
    public static ObjectNode withDefaults(JsonNode given) {
        ObjectNode all = Codec.map()
                .put("jobclass", "any")
                .put("shape", "array")
                .put("urgency", "normal")
                .put("pieces", 1)
                .put("accelerators", 0)
                .put("pullGb", 0)
                .put("samePlace", false)
                .put("apart", false)
                .put("loaner", true)
                .put("guessS", 60)
                .put("snapshotEveryS", 0)
                .put("snapshotCostS", 0);
        given.fields().forEachRemaining(e -> all.set(e.getKey(), e.getValue()));
        return all;
    }

    private static String name(JsonNode node, String field) throws MalformedMessageException {
        String text = Codec.text(node, field);
        if (text.length() > MAX_NAME) {
            throw new MalformedMessageException(field + ": longer than " + MAX_NAME);
        }
        return text;
    }

    public ObjectNode toNode() {
        ObjectNode node = Codec.map();
        node.put("ref", id.text())
                .put("jobclass", jobClass)
                .put("owner", team)
                .put("shape", shape.text)
                .put("urgency", priority.text())
                .put("pieces", tasks)
                .put("cores", cpus)
                .put("accelerators", gpus)
                .put("memGb", memGb)
                .put("bundle", image)
                .put("pullGb", imageGb);
        if (machineTypes == null) {
            node.putNull("hosttypes");
        } else {
            ArrayNode types = node.putArray("hosttypes");
            machineTypes.forEach(types::add);
        }
        node.put("yard", zone)
                .put("samePlace", sameZone)
                .put("apart", antiAffinity)
                .put("loaner", spot)
                .put("guessS", estimateS)
                .put("snapshotEveryS", checkpointEveryS)
                .put("snapshotCostS", checkpointCostS)
                .put("dueS", deadlineS);
        if (width != null) {
            node.set("width", width.toNode());
        }
        if (idempotencyKey != null) {
            node.put("onceKey", idempotencyKey);
        }
        if (origin != null) {
            node.put("origin", origin);
        }
        if (keySet != null) {
            node.put("keySet", keySet);
        }
        if (keySetBinding != null) {
            node.set("pin", keySetBinding.toNode());
        }
        if (release != null) {
            node.put("release", release);
        }
        return node;
    }

    public JobSpec withoutWidth() {
        return width == null ? this : with(null, idempotencyKey, origin, keySet, keySetBinding);
    }

    public JobSpec withoutIdempotencyKey() {
        return idempotencyKey == null ? this : with(width, null, origin, keySet, keySetBinding);
    }

    /** Where it comes from: a table, line and hour, or null for a user's own submission. */
    public JobSpec withOrigin(String where) {
        return with(width, idempotencyKey, where, keySet, keySetBinding);
    }

    /** Bound to what its key set holds, or to none. */
    public JobSpec withKeySetBinding(KeySetBinding to) {
        return with(width, idempotencyKey, origin, keySet, to);
    }

    public JobSpec withoutKeySet() {
        return keySet == null && keySetBinding == null ? this : with(width, idempotencyKey, origin, null, null);
    }

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

    public boolean isService() {
        return shape == Shape.SERVICE;
    }

    public boolean isGang() {
        return shape == Shape.GANG;
    }

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
