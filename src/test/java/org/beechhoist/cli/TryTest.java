package org.beechhoist.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** The README's first command: real sockets, three controllers and a region in one process. */
@Tag("clock")
class TryTest {
    private record Ran(int code, String out, String err) {}

    private static Ran run(String... args) {
        PrintStream oldOut = System.out;
        PrintStream oldErr = System.err;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        try {
            System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
            System.setErr(new PrintStream(err, true, StandardCharsets.UTF_8));
            int code = new CommandLine(new Try()).execute(args);
            return new Ran(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(oldOut);
            System.setErr(oldErr);
        }
    }

    @Test
    void aJobIsSeenThrough(@TempDir Path dir) throws Exception {
        Path file = Files.writeString(
                dir.resolve("job.toml"),
                """
                ref = "job-7"
                owner = "ours"
                pieces = 3
                cores = 1.0
                memGb = 1.0
                bundle = "img"
                guessS = 1.0
                """);
        Ran ran = run(file.toString());
        assertEquals(0, ran.code, ran.out + ran.err);
        assertTrue(
                ran.out.contains("done: 3 of 3 done") && ran.out.contains("promised: first task placed after"),
                ran.out);
    }

    @Test
    void whatCannotBeRunIsSaidInOneLine(@TempDir Path dir) throws Exception {
        Path file = Files.writeString(
                dir.resolve("job.toml"),
                "ref = \"job-7\"\nowner = \"ours\"\ncores = \"two\"\nmemGb = 1\nbundle = \"i\"\n");
        Ran ran = run(file.toString());
        assertEquals(2, ran.code);
        assertEquals(1, ran.err.lines().count(), ran.err);
        assertTrue(ran.err.contains("cores"), ran.err);
    }

    /** Guards against a stack trace for a job file with half of a character, which no request can carry. */
    @Test
    void textThatIsNotUnicodeIsSaidInOneLine(@TempDir Path dir) throws Exception {
        Path file = Files.writeString(
                dir.resolve("job.toml"),
                "ref = \"job-7\"\nowner = \"ours\"\ncores = 2\nmemGb = 1\nbundle = \"i\\uD842\"\n");
        Ran ran = run(file.toString());
        assertEquals(2, ran.code);
        assertEquals(1, ran.err.lines().count(), ran.err);
        assertTrue(ran.err.contains("Unicode"), ran.err);
    }
}
