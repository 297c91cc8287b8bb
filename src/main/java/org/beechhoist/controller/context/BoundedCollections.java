package org.beechhoist.controller.context;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Maps and sets of a bounded size, which drop their oldest entry when they grow beyond it. */
public final class BoundedCollections {
    private BoundedCollections() {}

    /** Returns a map that keeps the {@code most} entries that were read or written last. */
    public static <K, V> Map<K, V> leastRecentlyUsedMap(int most) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > most;
            }
        };
    }

    /** Returns a set that keeps the {@code most} elements that were added last. */
    public static <K> Set<K> insertionOrderedSet(int most) {
        return Collections.newSetFromMap(new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, Boolean> eldest) {
                return size() > most;
            }
        });
    }
}
