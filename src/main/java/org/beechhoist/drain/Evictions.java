package org.beechhoist.drain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MachineId;
import org.beechhoist.wire.TaskId;

/**
 * Which tasks of machines that are emptied leave now. Greedy: the machine that can be empty with the least loss first, on it what
 * loses least first, each only as its team's and its class's budget allow. A gang leaves whole or not at all.
 */
public final class Evictions {
    /**
     * A task on a machine that is emptied.
     *
     * @param gang the tasks that end with it, itself included; 0 where it is alone
     * @param replicas of its service; 0: it is none
     * @param due whether the moment at which it loses least has come
     * @param lostCpuS what stopping it now throws away
     * @param mayLeave whether it has a place elsewhere, where it needs one before it leaves
     */
    public record Candidate(
            TaskId task,
            long attempt,
            MachineId host,
            String team,
            String jobClass,
            Cause cause,
            int gang,
            int replicas,
            boolean due,
            double lostCpuS,
            boolean mayLeave) {
        public boolean service() {
            return replicas > 0;
        }
    }

    /** What keeps tasks on a machine. */
    public record Why(MachineId host, String text) {}

    /** Who leaves, and why others can't, with how many tasks. */
    public record Decision(List<Candidate> leave, Map<Why, Integer> blocked) {}

    private Evictions() {}

    /**
     * @param accounts of the teams; those who leave are charged on them, so hand over copies
     * @param most that leave at once
     */
    public static Decision decide(
            List<Candidate> all, Budgets budgets, Map<String, Account> accounts, long nowMs, int most) {
        Map<MachineId, Double> loss = new HashMap<>();
        all.forEach(c -> loss.merge(c.host, c.lostCpuS, Double::sum));
        List<Candidate> order = new ArrayList<>(all);
        order.sort(Comparator.comparingDouble((Candidate c) -> loss.get(c.host))
                .thenComparing(Candidate::host)
                .thenComparingDouble(Candidate::lostCpuS)
                .thenComparing(c -> c.task.toString()));
        List<Candidate> leave = new ArrayList<>();
        Map<Why, Integer> blocked = new HashMap<>();
        Set<JobId> gangs = new HashSet<>();
        for (Candidate candidate : order) {
            if (!candidate.due || leave.size() >= most) {
                continue; // it comes to its own end, or to its next save
            }
            if (candidate.gang > 0 && !gangs.add(candidate.task.job())) {
                continue; // all of it was decided with its first
            }
            Account account = accounts.computeIfAbsent(candidate.team, k -> new Account());
            String why = candidate.mayLeave
                    ? refused(candidate, budgets, account, nowMs)
                    : "no place: none is free for its replica yet";
            if (why != null) {
                blocked.merge(new Why(candidate.host, why), 1, Integer::sum);
                continue;
            }
            account.charge(
                    candidate.task,
                    new Account.Away(
                            candidate.attempt, candidate.jobClass, candidate.cause, candidate.lostCpuS, nowMs));
            leave.add(candidate);
        }
        return new Decision(leave, blocked);
    }

    private static String refused(Candidate candidate, Budgets budgets, Account account, long nowMs) {
        Account.Ask ask = new Account.Ask(
                candidate.task, candidate.jobClass, candidate.service(), candidate.replicas, candidate.lostCpuS);
        String team = account.refuses(budgets.ofTeam(candidate.team), ask, nowMs);
        DisruptionBudget own = budgets.ofClass(candidate.team, candidate.jobClass);
        return team != null || own == null ? team : account.refuses(own, ask, nowMs);
    }
}
