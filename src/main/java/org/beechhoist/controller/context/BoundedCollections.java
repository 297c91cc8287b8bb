package org.beechhoist.controller.context;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Maps and sets of a bounded size, which evict their oldest entry when the size is exceeded. */
public final class BoundedCollections {
    private BoundedCollections() {}

    /** Returns a map that keeps at most {@code maxSize} entries and evicts the least recently used one. */
    public static <K, V> Map<K, V> leastRecentlyUsedMap(int maxSize) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > maxSize;
            }
        };
    }

    /** Returns a set that keeps at most {@code maxSize} elements and evicts the one that was added first. */
    public static <K> Set<K> insertionOrderedSet(int maxSize) {
        return Collections.newSetFromMap(new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, Boolean> eldest) {
                return size() > maxSize;
            }
        });
    }
}
