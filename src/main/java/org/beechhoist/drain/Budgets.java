package org.beechhoist.drain;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** All budgets of disruption, as a node knows them at one moment. */
public final class Budgets {
    public static final Budgets NONE = new Budgets(List.of());
    private final Map<String, DisruptionBudget> byKey = new HashMap<>();

    public Budgets(Collection<DisruptionBudget> all) {
        all.forEach(b -> byKey.put(b.key(), b));
    }

    /** The team's own, else the default's. */
    public DisruptionBudget ofTeam(String team) {
        DisruptionBudget own = byKey.get(team);
        return own != null ? own : byKey.getOrDefault(DisruptionBudget.DEFAULT, DisruptionBudget.USUAL);
    }

    /** That of one class beside it, or null. */
    public DisruptionBudget ofClass(String team, String jobClass) {
        return byKey.get(DisruptionBudget.key(team, jobClass));
    }

    /** Whether the team, or its class, has one of its own. */
    public boolean declared(String team, String jobClass) {
        return byKey.containsKey(team) || ofClass(team, jobClass) != null;
    }

    public Collection<DisruptionBudget> all() {
        return byKey.values();
    }
}
