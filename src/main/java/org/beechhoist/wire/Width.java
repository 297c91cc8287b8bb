package org.beechhoist.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * How many of a job's tasks may be on machines at once.
 *
 * @param min never fewer than this for the sake of other jobs
 * @param max never more
 * @param deadlineS seconds from the job's submission until it should be done, or null
 */
public record Width(int min, int max, Double deadlineS) {
    /** Checks that the range is one. */
    public Width {
        if (min < 0 || max < min) {
            throw new IllegalArgumentException(min + " to " + max);
        }
    }

    /** Reads {@code {"least":2,"most":16,"untilS":3600.0}}; {@code field} names it in complaints. */
    public static Width parse(JsonNode node, String field) throws MalformedMessageException {
        if (node == null || !node.isObject()) {
            throw new MalformedMessageException(field + ": a map with least and most is expected");
        }
        int least = count(node, "least", field);
        int most = count(node, "most", field);
        if (least > most) {
            throw new MalformedMessageException(field + ": least = " + least + " is above most = " + most);
        }
        return new Width(least, most, Codec.isAbsent(node, "untilS") ? null : Codec.number(node, "untilS", 0));
    }

    private static int count(JsonNode node, String name, String field) throws MalformedMessageException {
        try {
            return (int) Codec.wholeNumber(node, name, 0, JobSpec.MAX_TASKS);
        } catch (MalformedMessageException e) {
            throw new MalformedMessageException(field + "." + name + " = " + node.get(name)
                    + ": a whole number from 0 to " + JobSpec.MAX_TASKS + " is expected");
        }
    }

    /** The range in the protocol's field names, as it is sent and stored. */
    public ObjectNode toNode() {
        return Codec.map().put("least", min).put("most", max).put("untilS", deadlineS);
    }
}
