package org.beechhoist.corpus;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** The fixtures under corpus/: rows of fields that are divided by tabs. */
final class Corpus {
    /** In a record's text: the type's name before the bracket, a component's name before the equals sign. */
    private static final Pattern RECORD_NAMES = Pattern.compile("\\b[A-Z]\\w*(?=\\[)|\\b[a-z]\\w*=");

    private Corpus() {}

    static List<String[]> rows(String name, int fields) throws IOException {
        List<String[]> out = new ArrayList<>();
        for (String line : text(name).split("\n")) {
            String[] row = line.split("\t", -1);
            if (row.length != fields) {
                throw new IOException(name + ": " + fields + " fields expected: " + line);
            }
            out.add(row);
        }
        return out;
    }

    static String text(String name) throws IOException {
        try (InputStream in = Corpus.class.getResourceAsStream("/corpus/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** A record's values without the names of its types and components. */
    static String values(Record message) {
        return RECORD_NAMES.matcher(message.toString()).replaceAll("");
    }
}
