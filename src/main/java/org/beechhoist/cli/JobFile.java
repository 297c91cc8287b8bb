package org.beechhoist.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.MalformedMessageException;

/** A job described in TOML: the fields of {@code POST /v1/jobs}, most of them with defaults. */
final class JobFile {
    /** A file that describes no job; the message names the field. */
    static final class Bad extends Exception {
        Bad(String message) {
            super(message, null, false, false);
        }
    }

    private JobFile() {}

    static JobSpec read(Path file) throws Bad {
        try {
            return spec(TomlFile.read(file));
        } catch (IOException e) {
            throw new Bad(file + ": a readable TOML file is expected");
        } catch (MalformedMessageException e) {
            throw new Bad(file + ": " + e.getMessage());
        }
    }

    static JobSpec spec(JsonNode given) throws MalformedMessageException {
        return JobSpec.parse(JobSpec.withDefaults(given));
    }
}
