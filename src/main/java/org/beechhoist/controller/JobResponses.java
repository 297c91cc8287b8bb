package org.beechhoist.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobId;

/** Builds response bodies for users from the stored records of a job. */
final class JobResponses {
    private JobResponses() {}

    /** Returns the body of an error reply. */
    static ObjectNode error(String text) {
        return Codec.map().put("error", text);
    }

    /** Returns the body with the id and the status of a job. */
    static ObjectNode status(JobId jobId, String status) {
        return Codec.map().put("ref", jobId.text()).put("status", status);
    }

    /** Returns the status body of an ended job, from the record of its final state. */
    static ObjectNode endedStatus(JobId jobId, JsonNode value) {
        ObjectNode node = status(jobId, value.path("status").asText())
                .put("done", value.path("done").asInt())
                .put("running", 0);
        if (value.hasNonNull("origin")) {
            node.put("origin", value.get("origin").asText());
        }
        return node;
    }

    /** Returns the status body of an open job, from its record. */
    static ObjectNode openStatus(JobId jobId, JsonNode value) {
        int done = value.path("doneCount").asInt();
        // A record in the older format has ranges of done tasks instead of a count.
        JsonNode doneRanges = value.path("doneCount").isMissingNode() ? value.path("done") : Codec.list();
        for (int i = 0; i + 1 < doneRanges.size(); i += 2) {
            done += doneRanges.get(i + 1).asInt() - doneRanges.get(i).asInt() + 1;
        }
        int running = value.path("running").asInt();
        String status = value.path("cancel").asLong() > 0 ? "cancelled" : running > 0 ? "running" : "queued";
        ObjectNode node = status(jobId, status).put("done", done).put("running", running);
        if (value.path("spec").hasNonNull("origin")) {
            node.put("origin", value.get("spec").get("origin").asText());
        }
        if (value.path("spec").hasNonNull("pin")) {
            node.set("keySet", value.get("spec").get("pin"));
        }
        if (value.hasNonNull("reason")) {
            node.put("reason", value.get("reason").asText());
        }
        if (value.hasNonNull("width")) {
            node.set("width", value.get("width"));
            if (value.get("width").path("most").asInt() == 0) {
                node.put("reason", "paused: its width is 0");
            }
        }
        return node;
    }
}
