package org.beechhoist.drain;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A snapshot of all declared disruption budgets. */
public final class Budgets {
    /** No declared budgets: every team has {@link DisruptionBudget#FALLBACK}. */
    public static final Budgets NONE = new Budgets(List.of());

    private final Map<String, DisruptionBudget> byKey = new HashMap<>();

    /** Creates the set of the given budgets; of two with the same key, the later one counts. */
    public Budgets(Collection<DisruptionBudget> all) {
        all.forEach(budget -> byKey.put(budget.key(), budget));
    }

    /** Returns the team's own budget, or the default one if it has none. */
    public DisruptionBudget forTeam(String team) {
        DisruptionBudget own = byKey.get(team);
        return own != null ? own : byKey.getOrDefault(DisruptionBudget.DEFAULT, DisruptionBudget.FALLBACK);
    }

    /** Returns the budget that applies to one class in addition to the team's, or null. */
    public DisruptionBudget forClass(String team, String jobClass) {
        return byKey.get(DisruptionBudget.key(team, jobClass));
    }

    /** Returns whether the team, or its class, has a budget of its own. */
    public boolean isDeclared(String team, String jobClass) {
        return byKey.containsKey(team) || forClass(team, jobClass) != null;
    }

    /** Returns all declared budgets. */
    public Collection<DisruptionBudget> all() {
        return byKey.values();
    }
}
