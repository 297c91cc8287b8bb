package org.beechhoist.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** What a user submitted: {@code POST /v1/jobs}. */
public record JobSpec(
        JobId ref,
        String jobClass,
        String team,
        Shape shape,
        Priority urgency,
        int tasks,
        double cpus,
        double gpus,
        double memGb,
        String image,
        double imageGb,
        List<String> hostTypes,
        String zone,
        boolean sameZone,
        boolean apart,
        boolean spot,
        double estimateS,
        double checkpointS,
        double saveS,
        Double deadlineS,
        Width width,
        String onceKey,
        String origin,
        String keySet,
        KeySetBinding pin,
        String release) {
    /** What binds a job's tasks together. */
    public enum Shape {
        /** Independent tasks, each runs to completion. */
        ARRAY("array"),
        /** Tasks that start together or not at all; the platform's newer users submit them. */
        GANG("gang"),
        /** Replicas that run until the job is cancelled. */
        STANDING("standing");

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
        if (!JobId.valid(ref)) {
            throw new MalformedMessageException("ref: job- and digits expected");
        }
        Shape shape = Shape.parse(Codec.text(node, "shape"));
        if (!Codec.absent(node, "width") && shape != Shape.ARRAY) {
            throw new MalformedMessageException("width: only an array may carry one; "
                    + (shape == Shape.GANG
                            ? "a gang's tasks start together"
                            : "a standing job's replicas are resized once it is accepted"));
        }
        List<String> types = Codec.absent(node, "hosttypes") ? null : Codec.texts(node.get("hosttypes"), "hosttypes");
        return new JobSpec(
                new JobId(ref),
                name(node, "jobclass"),
                name(node, "owner"),
                shape,
                Priority.parse(Codec.text(node, "urgency")),
                (int) Codec.count(node, "pieces", 1, MAX_TASKS),
                Codec.number(node, "cores", 0),
                Codec.number(node, "accelerators", 0),
                Codec.number(node, "memGb", 0),
                name(node, "bundle"),
                Codec.number(node, "pullGb", 0),
                types,
                Codec.absent(node, "yard") ? null : name(node, "yard"),
                Codec.bool(node, "samePlace"),
                Codec.bool(node, "apart"),
                Codec.bool(node, "loaner"),
                Codec.number(node, "guessS", 0),
                Codec.number(node, "snapshotEveryS", 0),
                Codec.number(node, "snapshotCostS", 0),
                Codec.absent(node, "dueS") ? null : Codec.number(node, "dueS", 0),
                Codec.absent(node, "width") ? null : Width.parse(node.get("width"), "width"),
                Codec.absent(node, "onceKey") ? null : name(node, "onceKey"),
                Codec.absent(node, "origin") ? null : name(node, "origin"),
                Codec.absent(node, "keySet") ? null : name(node, "keySet"),
                Codec.absent(node, "pin") ? null : KeySetBinding.parse(node.get("pin")),
                Codec.absent(node, "release") ? null : name(node, "release"));
    }

    /** A job as a person describes it: what is left out has a default. */
    public static ObjectNode described(JsonNode given) {
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
        node.put("ref", ref.text())
                .put("jobclass", jobClass)
                .put("owner", team)
                .put("shape", shape.text)
                .put("urgency", urgency.text())
                .put("pieces", tasks)
                .put("cores", cpus)
                .put("accelerators", gpus)
                .put("memGb", memGb)
                .put("bundle", image)
                .put("pullGb", imageGb);
        if (hostTypes == null) {
            node.putNull("hosttypes");
        } else {
            ArrayNode types = node.putArray("hosttypes");
            hostTypes.forEach(types::add);
        }
        node.put("yard", zone)
                .put("samePlace", sameZone)
                .put("apart", apart)
                .put("loaner", spot)
                .put("guessS", estimateS)
                .put("snapshotEveryS", checkpointS)
                .put("snapshotCostS", saveS)
                .put("dueS", deadlineS);
        if (width != null) {
            node.set("width", width.toNode());
        }
        if (onceKey != null) {
            node.put("onceKey", onceKey);
        }
        if (origin != null) {
            node.put("origin", origin);
        }
        if (keySet != null) {
            node.put("keySet", keySet);
        }
        if (pin != null) {
            node.set("pin", pin.toNode());
        }
        if (release != null) {
            node.put("release", release);
        }
        return node;
    }

    public JobSpec withoutWidth() {
        return width == null ? this : with(null, onceKey, origin, keySet, pin);
    }

    public JobSpec withoutOnceKey() {
        return onceKey == null ? this : with(width, null, origin, keySet, pin);
    }

    /** Where it comes from: a table, line and hour, or null for a user's own submission. */
    public JobSpec from(String where) {
        return with(width, onceKey, where, keySet, pin);
    }

    /** Bound to what its key set holds, or to none. */
    public JobSpec pinned(KeySetBinding to) {
        return with(width, onceKey, origin, keySet, to);
    }

    public JobSpec withoutKeySet() {
        return keySet == null && pin == null ? this : with(width, onceKey, origin, null, null);
    }

    public JobSpec withoutRelease() {
        return release == null ? this : with(width, onceKey, origin, keySet, pin, null);
    }

    private JobSpec with(Width newWidth, String once, String from, String set, KeySetBinding to) {
        return with(newWidth, once, from, set, to, release);
    }

    private JobSpec with(Width newWidth, String once, String from, String set, KeySetBinding to, String ships) {
        return new JobSpec(
                ref,
                jobClass,
                team,
                shape,
                urgency,
                tasks,
                cpus,
                gpus,
                memGb,
                image,
                imageGb,
                hostTypes,
                zone,
                sameZone,
                apart,
                spot,
                estimateS,
                checkpointS,
                saveS,
                deadlineS,
                newWidth,
                once,
                from,
                set,
                to,
                ships);
    }

    public boolean service() {
        return shape == Shape.STANDING;
    }

    public boolean gang() {
        return shape == Shape.GANG;
    }

    public boolean allows(MachineType type) {
        return (hostTypes == null || hostTypes.contains(type.name()))
                && cpus <= type.cpus()
                && gpus <= type.gpus()
                && memGb <= type.memGb();
    }

    /** Whether one of its tasks may run on such a machine, its other tasks left aside. */
    public boolean mayRunOn(MachineType type, String hostZone, boolean hostSpot) {
        return allows(type) && (spot || !hostSpot) && (zone == null || zone.equals(hostZone));
    }

    /** Whether some machine that this job allows is offered where it may run. */
    public boolean fitsAny(Iterable<MachineType> types) {
        for (MachineType type : types) {
            if (allows(type) && (zone == null || type.zones().contains(zone))) {
                return true;
            }
        }
        return false;
    }
}
