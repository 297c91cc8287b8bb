package org.beechhoist.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.beechhoist.wire.CallResult;

/** Until a time, the state service's answers reach a node with text in place of each revision. */
final class UnreadableAnswers implements Damage {
    private static final List<String> REVISIONS = List.of("ledgerRev", "lastTouch");

    private final World world;
    private final long until;

    UnreadableAnswers(World world, long until) {
        this.world = world;
        this.until = until;
    }

    @Override
    public CallResult ofResult(CallResult result) {
        if (world.now >= until || result.body() == null || REVISIONS.stream().noneMatch(result.body()::has)) {
            return result;
        }
        JsonNode body = result.body().deepCopy();
        for (String field : REVISIONS) {
            if (body.has(field)) {
                ((ObjectNode) body).put(field, "many");
            }
        }
        return new CallResult(result.kind(), result.status(), body);
    }
}
