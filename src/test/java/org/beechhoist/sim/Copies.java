package org.beechhoist.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;

/** Late copies of workers' reports, and what is given in vain to machines that can't hear: kept from outside. */
final class Copies {
    /** Copies of each report, and how late they come. */
    int each;
    long leastMs = 2000;
    long mostMs = 90_000;
    int sent;
    /** Launches that were sent to machines that were deaf, or gone, at that moment; and how often the same one in a row. */
    int launchesToDeaf;
    int launchesToGone;
    int mostInARow;
    private final Map<String, Integer> inARow = new HashMap<>();

    void of(World w, byte[] report) {
        for (int i = 0; i < each; i++) {
            sent++;
            w.later(leastMs + w.random.nextLong(mostMs - leastMs), () -> w.copy(report));
        }
    }

    /** Commands on their way to a machine that is deaf. */
    void toDeaf(JsonNode body, long now) {
        launchesToDeaf += launches(body);
    }

    void toGone(JsonNode body) {
        launchesToGone += launches(body);
    }

    /** An answer to a report, on its way to a machine that may be deaf. */
    void answered(boolean deaf, JsonNode body, long now) {
        if (deaf && body != null) {
            launchesToDeaf += launches(body);
        }
    }

    private int launches(JsonNode body) {
        int n = 0;
        for (JsonNode o : body.path("orders")) {
            if (o.path("verb").asText().equals("launch")) {
                n++;
                mostInARow = Math.max(mostInARow, inARow.merge(o.path("piece").asText() + "#" + o.path("try").asText(), 1, Integer::sum));
            }
        }
        return n;
    }
}
