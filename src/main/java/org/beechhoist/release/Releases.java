package org.beechhoist.release;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.beechhoist.wire.JobSpec;

/** All releases that stand, as a node knows them at one moment. */
public final class Releases {
    public static final Releases NONE = new Releases(List.of());

    private final Map<String, Release> byName = new TreeMap<>();
    /** Those that jobs need not name, the nearest first. */
    private final List<Release> matching;

    /** Those of the releases that are not removed. */
    public Releases(Collection<Release> all) {
        all.stream().filter(r -> !r.removed()).forEach(r -> byName.put(r.name(), r));
        matching = byName.values().stream()
                .filter(r -> r.team() != null || r.jobClass() != null || r.image() != null)
                .sorted(Comparator.comparingLong(Release::dueMs).thenComparing(Release::name))
                .toList();
    }

    /** Whether there is none. */
    public boolean isEmpty() {
        return byName.isEmpty();
    }

    /** All of them. */
    public Collection<Release> all() {
        return byName.values();
    }

    /** What the job counts for: what it names, else the nearest that fits it; null: nothing. A name that nobody has put is nothing. */
    public Release releaseOf(JobSpec spec) {
        if (spec.release() != null) {
            return byName.get(spec.release());
        }
        for (Release release : matching) {
            if ((release.team() == null || release.team().equals(spec.team()))
                    && (release.jobClass() == null || release.jobClass().equals(spec.jobClass()))
                    && (release.image() == null || release.image().equals(spec.image()))) {
                return release;
            }
        }
        return null;
    }
}
