package org.beechhoist.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import picocli.CommandLine;

/** Who makes a change, and why: it is kept with it. */
final class Change {
    @CommandLine.Option(names = "--who", required = true, description = "who decides it")
    private String who;

    @CommandLine.Option(names = "--why", required = true)
    private String why;

    ObjectNode to(ObjectNode body) {
        return body.put("who", who).put("why", why);
    }
}
