package org.beechhoist.controller;

import org.beechhoist.config.Settings;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.keyset.KeySets;
import org.beechhoist.wire.JobSpec;

/** Decides whether a job may be submitted and binds it to a version of its key set. */
final class SubmissionRules {
    /** The reason for refusing every job until the machine types have been read. */
    static final String MACHINE_TYPES_UNKNOWN = "the machine types are not known yet";

    /** The reason for refusing a job with a key set until the key sets have been read. */
    static final String KEY_SETS_UNKNOWN = "the key sets are not read yet";

    private static final KeySets.BindingDecision UNBOUND = new KeySets.BindingDecision(null, null);
    /** Rounding tolerance of comparisons between a sum of CPUs or GPUs and a limit. */
    private static final double LIMIT_TOLERANCE = 1e-6;

    private final Settings settings;
    private final MachineTypeCatalog machineTypes;
    /** Null if key sets are disabled. */
    private final KeySetRegistry keySets;

    SubmissionRules(Settings settings, MachineTypeCatalog machineTypes, KeySetRegistry keySets) {
        this.settings = settings;
        this.machineTypes = machineTypes;
        this.keySets = keySets;
    }

    /** Returns whether the refusal is lifted once this node has read the machine types and key sets. */
    static boolean isTemporaryRefusal(String refusal) {
        return MACHINE_TYPES_UNKNOWN.equals(refusal) || KEY_SETS_UNKNOWN.equals(refusal);
    }

    /** Returns whether the machine types have been read. */
    boolean areMachineTypesLoaded() {
        return machineTypes.isLoaded();
    }

    /** Returns the key sets, or null if they are disabled. */
    KeySetRegistry keySets() {
        return keySets;
    }

    /**
     * Returns the reason why a job of a schedule cannot be submitted, temporarily ({@link #isTemporaryRefusal}) or permanently, or
     * null if it can be submitted.
     */
    String refusal(JobSpec spec) {
        KeySets.BindingDecision binding = keySetBinding(spec);
        if (!machineTypes.isLoaded()) {
            return MACHINE_TYPES_UNKNOWN;
        }
        if (binding == null) {
            return KEY_SETS_UNKNOWN;
        }
        return binding.refusalReason() != null ? binding.refusalReason() : permanentRefusal(spec);
    }

    /** Returns a job that was not refused, bound to its key set if it needs one. */
    JobSpec bindToKeySet(JobSpec spec) {
        return spec.withKeySetBinding(keySetBinding(spec).keySetBinding());
    }

    /** Returns the key set version that the job would be bound to, or null until the key sets have been read. */
    KeySets.BindingDecision keySetBinding(JobSpec spec) {
        return keySets == null ? UNBOUND : keySets.bind(spec);
    }

    /** Returns the reason why no machine type or quota can ever accommodate the job, or null if there is none. */
    String permanentRefusal(JobSpec spec) {
        Settings.Team team = settings.teams().get(spec.team());
        if (team == null) {
            return "owner: unknown team";
        }
        if (!spec.fitsAnyType(machineTypes.all())) {
            return "a task fits no allowed machine type";
        }
        int simultaneousTasks = spec.isService() || spec.isGang() ? spec.tasks() : 1;
        if (simultaneousTasks * spec.cpus() > team.cpusMax() + LIMIT_TOLERANCE
                || simultaneousTasks * spec.gpus() > team.gpusMax() + LIMIT_TOLERANCE) {
            return "more than the team's limit";
        }
        return null;
    }
}
