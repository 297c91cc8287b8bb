package org.beechhoist.release;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.beechhoist.wire.JobSpec;

/** An immutable snapshot of all releases that are not removed, as a node has read them. */
public final class Releases {
    /** The snapshot without releases. */
    public static final Releases NONE = new Releases(List.of());

    private final Map<String, Release> byName = new TreeMap<>();
    /** Releases that select jobs by team, class or image, earliest due time first. */
    private final List<Release> matchedByCriteria;

    /** Keeps those of the given releases that are not removed. */
    public Releases(Collection<Release> all) {
        all.stream().filter(r -> !r.removed()).forEach(r -> byName.put(r.name(), r));
        matchedByCriteria = byName.values().stream()
                .filter(r -> r.team() != null || r.jobClass() != null || r.image() != null)
                .sorted(Comparator.comparingLong(Release::dueMs).thenComparing(Release::name))
                .toList();
    }

    /** Returns whether there are no releases. */
    public boolean isEmpty() {
        return byName.isEmpty();
    }

    /** Returns all releases, ordered by name. */
    public Collection<Release> all() {
        return byName.values();
    }

    /**
     * Returns the release that the job belongs to: the one that it names, otherwise the matching release that is due first. Returns
     * null if there is none, also if the job names an unknown release.
     */
    public Release releaseOf(JobSpec spec) {
        if (spec.release() != null) {
            return byName.get(spec.release());
        }
        for (Release release : matchedByCriteria) {
            if ((release.team() == null || release.team().equals(spec.team()))
                    && (release.jobClass() == null || release.jobClass().equals(spec.jobClass()))
                    && (release.image() == null || release.image().equals(spec.image()))) {
                return release;
            }
        }
        return null;
    }
}
