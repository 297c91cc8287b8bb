package org.beechhoist.controller;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.beechhoist.controller.context.ControllerContext;
import org.beechhoist.controller.state.PrefixWatch;
import org.beechhoist.drain.Budgets;
import org.beechhoist.drain.DisruptionBudget;
import org.beechhoist.drain.Drain;
import org.beechhoist.store.StoreClient;
import org.beechhoist.store.TokenBucket;
import org.beechhoist.wire.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The drains and disruption budgets that are stored in the state service: read once, then updated by a watch. */
final class DrainRegistry {
    static final String PREFIX = "dr/put/";
    static final String DRAINS_PREFIX = PREFIX + "d/";
    static final String BUDGETS_PREFIX = PREFIX + "b/";
    private static final Logger LOG = LoggerFactory.getLogger(DrainRegistry.class);

    private final ControllerContext context;
    private final StoreClient store;
    private final TokenBucket requests;
    private final Runnable onChange;
    private final Map<String, Drain> drains = new TreeMap<>();
    private final Map<String, DisruptionBudget> declaredBudgets = new TreeMap<>();
    private List<Drain> drainsByTime = List.of();
    private Budgets budgets = Budgets.NONE;
    private boolean loaded;

    DrainRegistry(ControllerContext context, StoreClient store, TokenBucket requests, Runnable onChange) {
        this.context = context;
        this.store = store;
        this.requests = requests;
        this.onChange = onChange;
    }

    void start() {
        new PrefixWatch(
                        context,
                        store,
                        requests,
                        PREFIX,
                        () -> {
                            drains.clear();
                            declaredBudgets.clear();
                        },
                        this::applyEntry,
                        this::applyChanges)
                .start();
    }

    boolean isLoaded() {
        return loaded;
    }

    /** Returns the drains, the earliest first: a machine that several drains select belongs to the first of them. */
    List<Drain> drains() {
        return drainsByTime;
    }

    Drain findDrain(String name) {
        return drains.get(name);
    }

    Budgets budgets() {
        return budgets;
    }

    private void applyEntry(StoreClient.KeyValue item) {
        try {
            if (item.key().startsWith(DRAINS_PREFIX)) {
                String name = item.key().substring(DRAINS_PREFIX.length());
                if (item.value() == null) {
                    drains.remove(name);
                } else {
                    Drain drain = Drain.parse(item.value());
                    if (!drain.name().equals(name)) {
                        throw new MalformedMessageException(
                                "name = " + drain.name() + ": it is stored at " + item.key());
                    }
                    drains.put(name, drain);
                }
            } else if (item.key().startsWith(BUDGETS_PREFIX)) {
                String key = item.key().substring(BUDGETS_PREFIX.length());
                if (item.value() == null) {
                    declaredBudgets.remove(key);
                } else {
                    declaredBudgets.put(key, DisruptionBudget.parse(item.value()));
                }
            }
        } catch (MalformedMessageException | RuntimeException e) {
            // An unreadable drain drains nothing; an unreadable budget keeps its previous value.
            LOG.error("unreadable drain or budget: key={} error={}", item.key(), e.getMessage());
            drains.remove(item.key().startsWith(DRAINS_PREFIX) ? item.key().substring(DRAINS_PREFIX.length()) : "");
        }
    }

    private void applyChanges(List<StoreClient.KeyValue> entries) {
        entries.forEach(this::applyEntry);
        if (loaded && entries.isEmpty()) {
            return;
        }
        loaded = true;
        drainsByTime = drains.values().stream()
                .sorted(Comparator.comparingLong(Drain::atMs).thenComparing(Drain::name))
                .toList();
        budgets = new Budgets(declaredBudgets.values());
        onChange.run();
    }
}
