package org.beechhoist.controller;

import org.beechhoist.config.Settings;
import org.beechhoist.controller.state.MachineTypeCatalog;
import org.beechhoist.keyset.KeySets;
import org.beechhoist.wire.JobSpec;

/** Decides whether a job may be submitted, and binds it to a version of its key set. */
final class SubmissionRules {
    /** The refusal of every job until the machine types have been read. */
    static final String MACHINE_TYPES_UNKNOWN = "the machine types are not known yet";

    /** The refusal of a job with a key set until the key sets have been read. */
    static final String KEY_SETS_UNKNOWN = "the key sets are not read yet";

    private static final KeySets.BindingDecision UNBOUND = new KeySets.BindingDecision(null, null);
    /** By how much a sum of CPUs or GPUs may exceed a limit because of rounding. */
    private static final double ROUNDING = 1e-6;

    private final Settings settings;
    private final MachineTypeCatalog machineTypes;
    /** Null where key sets are off. */
    private final KeySetRegistry keySets;

    SubmissionRules(Settings settings, MachineTypeCatalog machineTypes, KeySetRegistry keySets) {
        this.settings = settings;
        this.machineTypes = machineTypes;
        this.keySets = keySets;
    }

    /** Whether a refusal ends by itself, once this node has read what it needs. */
    static boolean isTemporaryRefusal(String refusal) {
        return MACHINE_TYPES_UNKNOWN.equals(refusal) || KEY_SETS_UNKNOWN.equals(refusal);
    }

    /** Whether the machine types have been read. */
    boolean areMachineTypesLoaded() {
        return machineTypes.isLoaded();
    }

    /** The key sets, or null where they are off. */
    KeySetRegistry keySets() {
        return keySets;
    }

    /** Why a job of a schedule can't be submitted, temporarily ({@link #isTemporaryRefusal}) or for ever; null if it can. */
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

    /** A job that was not refused, bound to its key set if it needs one. */
    JobSpec bindToKeySet(JobSpec spec) {
        return spec.withKeySetBinding(keySetBinding(spec).keySetBinding());
    }

    /** The version of its key set that a job would be bound to, or null while the key sets are not read. */
    KeySets.BindingDecision keySetBinding(JobSpec spec) {
        return keySets == null ? UNBOUND : keySets.bind(spec);
    }

    /** Why no machine type or quota will ever take a job, or null. */
    String permanentRefusal(JobSpec spec) {
        Settings.Team team = settings.teams().get(spec.team());
        if (team == null) {
            return "owner: unknown team";
        }
        if (!spec.fitsAnyType(machineTypes.all())) {
            return "a task fits no allowed machine type";
        }
        int together = spec.isService() || spec.isGang() ? spec.tasks() : 1;
        if (together * spec.cpus() > team.cpusMax() + ROUNDING || together * spec.gpus() > team.gpusMax() + ROUNDING) {
            return "more than the team's limit";
        }
        return null;
    }
}
