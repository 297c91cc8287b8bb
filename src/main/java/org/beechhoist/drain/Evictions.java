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
 * Decides which tasks on drained machines are evicted now. The choice is greedy: the machine that can be emptied with the least loss of
 * work comes first, on it the task that loses least; each only if the budgets of its team and class allow it. A gang is evicted
 * completely or not at all.
 */
public final class Evictions {
    /**
     * A task on a drained machine.
     *
     * @param task the task
     * @param attempt the attempt that runs
     * @param machine the machine that it runs on
     * @param team the team whose budget applies
     * @param jobClass the class whose budget applies in addition
     * @param cause the cause under which its eviction is charged
     * @param gangSize number of tasks that end with it, itself included; 0: it does not belong to a gang
     * @param replicas number of replicas of its service; 0: it does not belong to a service
     * @param due whether this is the moment at which stopping it loses least
     * @param lostCpuS CPU seconds of work that stopping it now loses
     * @param mayBeEvicted false if it needs a place elsewhere before it is evicted, and has none
     */
    public record Candidate(
            TaskId task,
            long attempt,
            MachineId machine,
            String team,
            String jobClass,
            Cause cause,
            int gangSize,
            int replicas,
            boolean due,
            double lostCpuS,
            boolean mayBeEvicted) {
        /** Returns whether the task is a replica of a service. */
        public boolean isService() {
            return replicas > 0;
        }
    }

    /** A reason for which tasks on a machine are not evicted. */
    public record BlockReason(MachineId machine, String text) {}

    /** The tasks to evict, and the reasons for which others are not, with the number of tasks. */
    public record Decision(List<Candidate> evicted, Map<BlockReason, Integer> blocked) {}

    private Evictions() {}

    /**
     * Chooses the tasks to evict now.
     *
     * @param all the tasks on drained machines
     * @param budgets the budgets of teams and classes
     * @param accounts the accounts by team; evictions are charged on them, so pass copies
     * @param nowMs the current wall clock time
     * @param maxCount the largest number of tasks to evict
     */
    public static Decision decide(
            List<Candidate> all, Budgets budgets, Map<String, Account> accounts, long nowMs, int maxCount) {
        Map<MachineId, Double> lossByMachine = new HashMap<>();
        all.forEach(c -> lossByMachine.merge(c.machine, c.lostCpuS, Double::sum));
        List<Candidate> order = new ArrayList<>(all);
        order.sort(Comparator.comparingDouble((Candidate c) -> lossByMachine.get(c.machine))
                .thenComparing(Candidate::machine)
                .thenComparingDouble(Candidate::lostCpuS)
                .thenComparing(c -> c.task.toString()));
        List<Candidate> evicted = new ArrayList<>();
        Map<BlockReason, Integer> blocked = new HashMap<>();
        Set<JobId> decidedGangs = new HashSet<>();
        for (Candidate candidate : order) {
            if (!candidate.due || evicted.size() >= maxCount) {
                continue; // it ends or reaches its next checkpoint first, or the limit of this call is reached
            }
            if (candidate.gangSize > 0 && !decidedGangs.add(candidate.task.job())) {
                continue; // the decision on its first task holds for the gang
            }
            Account account = accounts.computeIfAbsent(candidate.team, team -> new Account());
            String refusal = candidate.mayBeEvicted
                    ? refusalReason(candidate, budgets, account, nowMs)
                    : "no place: none is free for its replica yet";
            if (refusal != null) {
                blocked.merge(new BlockReason(candidate.machine, refusal), 1, Integer::sum);
                continue;
            }
            account.charge(
                    candidate.task,
                    new Account.Away(
                            candidate.attempt, candidate.jobClass, candidate.cause, candidate.lostCpuS, nowMs));
            evicted.add(candidate);
        }
        return new Decision(evicted, blocked);
    }

    private static String refusalReason(Candidate candidate, Budgets budgets, Account account, long nowMs) {
        Account.DisruptionRequest request = new Account.DisruptionRequest(
                candidate.task, candidate.jobClass, candidate.isService(), candidate.replicas, candidate.lostCpuS);
        String teamRefusal = account.refusalReason(budgets.forTeam(candidate.team), request, nowMs);
        DisruptionBudget classBudget = budgets.forClass(candidate.team, candidate.jobClass);
        return teamRefusal != null || classBudget == null
                ? teamRefusal
                : account.refusalReason(classBudget, request, nowMs);
    }
}
