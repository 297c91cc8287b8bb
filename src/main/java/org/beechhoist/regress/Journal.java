package org.beechhoist.regress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.Stream;

/** The entries that the bench leaves in a folder, one file a site and run. */
final class Journal {
    private final Path folder;
    private final ObjectMapper mapper = new ObjectMapper();

    Journal(Path folder) {
        this.folder = folder;
    }

    /** The entries' file names, the oldest first: they begin with the time. */
    TreeSet<String> names() throws IOException {
        TreeSet<String> out = new TreeSet<>();
        if (Files.isDirectory(folder)) {
            try (Stream<Path> files = Files.list(folder)) {
                files.map(f -> f.getFileName().toString())
                        .filter(n -> n.endsWith(".json"))
                        .forEach(out::add);
            }
        }
        return out;
    }

    /** The days of these entries, in their order. Runs without processor time say nothing of the others. */
    List<Day> days(Collection<String> names) throws IOException {
        List<Day> out = new ArrayList<>();
        for (String name : names) {
            JsonNode entry = mapper.readTree(folder.resolve(name).toFile());
            boolean charged = true;
            for (JsonNode arg : entry.path("argv")) {
                charged &= !arg.asText().equals("--no-cpu") && !arg.asText().equals("--until");
            }
            for (JsonNode day :
                    charged && entry.path("sim").asBoolean() ? entry.path("days") : mapper.createArrayNode()) {
                out.add(day(entry.path("site").asText(), day));
            }
        }
        return out;
    }

    private static Day day(String site, JsonNode node) {
        Map<String, Double> worth = new LinkedHashMap<>();
        Map<String, String> told = new LinkedHashMap<>();
        for (JsonNode aim : node.path("aims")) {
            String text = aim.path(0).asText();
            String words = text.contains(":") ? text.substring(0, text.lastIndexOf(':')) : text;
            worth.put(words, aim.path(1).asDouble());
            told.put(words, text);
        }
        List<String> broken = new ArrayList<>();
        node.path("rules").fields().forEachRemaining(e -> broken.add(e.getKey() + " " + e.getValue()));
        if (node.hasNonNull("fault")) {
            broken.add(node.get("fault").asText());
        }
        return new Day(
                site,
                node.path("name").asText(),
                node.path("day").asText(),
                node.path("seed").asText(),
                node.path("score").asDouble(),
                worth,
                told,
                String.join(", ", broken));
    }
}
