package org.beechhoist.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.MalformedMessageException;

/** Late copies of workers' reports, and what is given in vain to machines that can't hear: kept from outside. */
final class Copies {
    /** Copies of each report, and how late they come. */
    int each;

    long leastMs = 2000;
    long mostMs = 90_000;
    int sent;
    /** Planted: copies look as if they had been made just now; reports of machines that don't hear, as if they did. */
    boolean takenForFresh;

    boolean deafSeemToHear;
    private final Map<String, Long> forged = new HashMap<>();
    /** Launches that were sent to machines that were deaf, or gone, at that moment; and how often the same one in a row. */
    int launchesToDeaf;

    int launchesToGone;
    int mostInARow;
    private final Map<String, Integer> inARow = new HashMap<>();

    void of(World w, byte[] report) {
        for (int i = 0; i < each; i++) {
            sent++;
            w.later(
                    leastMs + w.random.nextLong(mostMs - leastMs),
                    () -> w.copy(takenForFresh ? forged(w, report) : report));
        }
    }

    /** The report with the newest token, and numbered as if it followed all others; what it says of tasks is as old as it is. */
    byte[] forged(World w, byte[] report) {
        return Codec.encode(seeming(w, report));
    }

    ObjectNode seeming(World w, byte[] report) {
        try {
            ObjectNode n = (ObjectNode) Codec.decodeMap(report);
            return n.put("baton", w.token())
                    .put("counter", forged.merge(n.path("host").asText(), 1_000_000L, (a, b) -> a + 1));
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Commands on their way to a machine that is deaf. */
    void toDeaf(JsonNode body) {
        launchesToDeaf += launches(body);
    }

    void toGone(JsonNode body) {
        launchesToGone += launches(body);
    }

    /** An answer to a report, on its way to a machine that may be deaf. */
    void answered(boolean deaf, JsonNode body) {
        if (deaf && body != null) {
            launchesToDeaf += launches(body);
        }
    }

    private int launches(JsonNode body) {
        int n = 0;
        for (JsonNode o : body.path("orders")) {
            if (o.path("verb").asText().equals("launch")) {
                n++;
                mostInARow = Math.max(
                        mostInARow,
                        inARow.merge(
                                o.path("piece").asText() + "#" + o.path("try").asText(), 1, Integer::sum));
            }
        }
        return n;
    }
}
