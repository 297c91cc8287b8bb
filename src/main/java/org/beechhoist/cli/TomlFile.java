package org.beechhoist.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Path;
import org.beechhoist.wire.MalformedMessageException;
import org.beechhoist.wire.UnicodeText;

/** A command's file: what is wrong with it is one line, and exit code 2. */
final class TomlFile {
    private static final int USAGE = 2;

    /** What a command does with a file's content; hands over its exit code. */
    interface Content {
        int use(ObjectNode given) throws MalformedMessageException;
    }

    private TomlFile() {}

    static int use(Path file, Content content) {
        try {
            return content.use(read(file));
        } catch (MalformedMessageException e) {
            System.err.println("beechhoist: " + file + ": " + e.getMessage());
        } catch (IOException e) {
            System.err.println("beechhoist: " + file + ": a readable TOML file is expected");
        }
        return USAGE;
    }

    /** Reads a TOML file; text that no request can carry is malformed. */
    static ObjectNode read(Path file) throws IOException, MalformedMessageException {
        ObjectNode root = (ObjectNode) new TomlMapper().readTree(file.toFile());
        if (!UnicodeText.isValid(root)) {
            throw new MalformedMessageException("text in Unicode, without halves of characters, is expected");
        }
        return root;
    }
}
