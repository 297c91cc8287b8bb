package org.beechhoist.controller.context;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Memories of a bounded size, which forget what is oldest. */
public final class BoundedCollections {
    private BoundedCollections() {}

    /** Keeps the entries that were used last. */
    public static <K, V> Map<K, V> leastRecentlyUsedMap(int most) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > most;
            }
        };
    }

    /** Keeps what was added last. */
    public static <K> Set<K> insertionOrderedSet(int most) {
        return Collections.newSetFromMap(new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, Boolean> eldest) {
                return size() > most;
            }
        });
    }
}
