package org.beechhoist.trial;

import com.dynatrace.hash4j.hashing.Hashing;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiPredicate;
import org.beechhoist.local.LoopbackRegion;
import org.beechhoist.standin.Worker;
import org.beechhoist.wire.JobSpec;
import org.beechhoist.wire.TaskId;

/**
 * What the trial's workers do: sign images. An image's output is written bit by bit under its attempt's name, and put in
 * place in one step when it is whole; its last eight bytes are a hash of the rest. What counts in the end is read from
 * the files.
 */
final class SigningFloor implements LoopbackRegion.Tasks {
    private static final int BYTES = 6000;
    private final Path parts;
    private final Path signed;
    private final SplittableRandom random;
    private final Set<TaskId> complete = new HashSet<>();
    private final Map<TaskId, String> running = new HashMap<>();
    private final Map<String, Integer> written = new HashMap<>();
    /** When each machine's notice was given; told by the trial. */
    final Map<String, Long> noticed = new ConcurrentHashMap<>();

    volatile BiPredicate<String, TaskId> holds = (host, task) -> true;
    volatile int together;
    volatile int lossyStops;
    volatile int ontoDrained;
    volatile int starts;

    SigningFloor(Path dir, SplittableRandom random) throws IOException {
        this.parts = Files.createDirectory(dir.resolve("parts"));
        this.signed = Files.createDirectory(dir.resolve("signed"));
        this.random = random;
    }

    private static byte[] image(TaskId task) {
        byte[] out = new byte[BYTES];
        new SplittableRandom(task.toString().hashCode()).nextBytes(out);
        ByteBuffer.wrap(out).putLong(BYTES - 8, Hashing.xxh3_64().hashBytesToLong(out, 0, BYTES - 8));
        return out;
    }

    private static String name(TaskId task, long attempt) {
        return task.job() + "_" + task.index() + "." + attempt;
    }

    @Override
    public long runMs(JobSpec job, TaskId task, String host) {
        return job.isService() ? 1 : 700 + random.nextInt(2000);
    }

    @Override
    public boolean completed(TaskId task) {
        return complete.contains(task);
    }

    /** The machines hold a standing job too, which signs nothing. */
    private static boolean signs(TaskId task) {
        return task.job().text().length() > 9;
    }

    @Override
    public void started(String host, TaskId task, long attempt) {
        if (!signs(task)) {
            return;
        }
        starts++;
        String other = running.put(task, host);
        if (other != null && !other.equals(host) && holds.test(other, task)) {
            together++;
        }
        Long since = noticed.get(host);
        // Two seconds, four reports, after its notice every leader that may place there has heard of it.
        if (since != null && System.nanoTime() - since > 2_000_000_000L) {
            ontoDrained++;
        }
        write(task, attempt, 1);
    }

    @Override
    public void runs(String host, TaskId task, long attempt, double progress) {
        if (signs(task)) {
            write(task, attempt, (int) (progress * BYTES));
        }
    }

    private void write(TaskId task, long attempt, int upTo) {
        String name = name(task, attempt);
        int from = written.getOrDefault(name, 0);
        if (upTo > from) {
            try (var out =
                    Files.newByteChannel(parts.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
                out.write(ByteBuffer.wrap(image(task), from, upTo - from));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            written.put(name, upTo);
        }
    }

    @Override
    public void finished(String host, TaskId task, long attempt) {
        write(task, attempt, BYTES);
        running.remove(task, host);
        complete.add(task);
        try {
            Files.move(
                    parts.resolve(name(task, attempt)),
                    signed.resolve(name(task, attempt)),
                    StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void ended(String host, TaskId task, long attempt, long lostMs, Worker.End why) {
        running.remove(task, host);
        if (signs(task) && why == Worker.End.STOPPED && !noticed.containsKey(host) && lostMs > 0) {
            lossyStops++;
        }
    }

    /** What the files say: images signed exactly once, more than once, and outputs that are whole. */
    record Found(int once, int more, int files, int whole) {}

    Found found() throws IOException {
        Map<String, Integer> times = new HashMap<>();
        List<Path> files = new ArrayList<>();
        try (var list = Files.list(signed)) {
            list.forEach(files::add);
        }
        int whole = 0;
        for (Path f : files) {
            String image = f.getFileName().toString().replaceFirst("\\.\\d+$", "");
            times.merge(image, 1, Integer::sum);
            byte[] bytes = Files.readAllBytes(f);
            whole += bytes.length == BYTES
                            && ByteBuffer.wrap(bytes).getLong(BYTES - 8)
                                    == Hashing.xxh3_64().hashBytesToLong(bytes, 0, BYTES - 8)
                    ? 1
                    : 0;
        }
        int once = (int) times.values().stream().filter(n -> n == 1).count();
        return new Found(once, times.size() - once, files.size(), whole);
    }
}
