package org.beechhoist.wire;

/** The protocol's field names, each under the usual term for what it holds. */
public final class ProtocolFields {
    /** A job's id. */
    public static final String JOB_ID = "ref";

    /** A job's class. */
    public static final String JOB_CLASS = "jobclass";

    /** The team that a job belongs to. */
    public static final String TEAM = "owner";

    /** What binds a job's tasks together. */
    public static final String SHAPE = "shape";

    /** A job's priority. */
    public static final String PRIORITY = "urgency";

    /** How many tasks a job has; in a heartbeat, the list of its tasks. */
    public static final String TASK_COUNT = "pieces";

    /** CPUs of a task or machine. */
    public static final String CPUS = "cores";

    /** GPUs of a task or machine. */
    public static final String GPUS = "accelerators";

    /** Memory of a task or machine. */
    public static final String MEMORY_GB = "memGb";

    /** The image that a task runs. */
    public static final String IMAGE = "bundle";

    /** The size of that image. */
    public static final String IMAGE_GB = "pullGb";

    /** Machine types that a job may run on. */
    public static final String MACHINE_TYPES = "hosttypes";

    /** A zone. */
    public static final String ZONE = "yard";

    /** The zones in which a machine type is offered. */
    public static final String ZONES = "yards";

    /** Whether all tasks run in one zone. */
    public static final String SAME_ZONE = "samePlace";

    /** Whether tasks run on different machines. */
    public static final String ANTI_AFFINITY = "apart";

    /** Whether a machine is a spot (preemptible) machine, or a job may run on such. */
    public static final String SPOT = "loaner";

    /** How long a task is expected to run. */
    public static final String ESTIMATE_S = "guessS";

    /** How often a task saves its progress. */
    public static final String CHECKPOINT_EVERY_S = "snapshotEveryS";

    /** How long that takes. */
    public static final String CHECKPOINT_COST_S = "snapshotCostS";

    /** When a job should be done, from its submission. */
    public static final String DEADLINE_S = "dueS";

    /** How many of a job's tasks may be on machines at once. */
    public static final String WIDTH = "width";

    /** The idempotency key of a submission. */
    public static final String IDEMPOTENCY_KEY = "onceKey";

    /** The schedule that a job comes from. */
    public static final String ORIGIN = "origin";

    /** The key set that a job asks for. */
    public static final String KEY_SET = "keySet";

    /** The version of the key set that a job is bound to. */
    public static final String KEY_SET_BINDING = "pin";

    /** The release that a job counts for. */
    public static final String RELEASE = "release";

    /** A machine's id. */
    public static final String MACHINE = "host";

    /** A machine's type. */
    public static final String MACHINE_TYPE = "hosttype";

    /** The epoch (incarnation) of a machine's worker. */
    public static final String EPOCH = "shift";

    /** The number of a worker's message within its epoch. */
    public static final String SEQUENCE = "counter";

    /** The leader's fencing token. */
    public static final String FENCING_TOKEN = "baton";

    /** How long until the cloud takes a spot machine back. */
    public static final String PREEMPTION_NOTICE_S = "warningS";

    /** A task's id. */
    public static final String TASK = "piece";

    /** The attempt of a task. */
    public static final String ATTEMPT = "try";

    /** The state of a task on a machine. */
    public static final String TASK_STATE = "status";

    /** Why a task exited. */
    public static final String EXIT_CAUSE = "cause";

    /** Whether a task's progress is saved. */
    public static final String CHECKPOINT_STORED = "stored";

    /** The commands to a worker. */
    public static final String COMMANDS = "orders";

    /** What a command does. */
    public static final String VERB = "verb";

    /** How long a killed task may save its state. */
    public static final String GRACE_S = "windDownS";

    /** A machine type's name. */
    public static final String TYPE_NAME = "sku";

    /** How many GB of images a machine keeps. */
    public static final String CACHE_GB = "cacheGb";

    /** How fast a machine fetches images. */
    public static final String FETCH_GB_PER_S = "fetchGbPerS";

    /** A machine type's price. */
    public static final String PRICE = "rate";

    /** The price of a spot machine of the type. */
    public static final String SPOT_PRICE = "lowPrice";

    /** How long a machine of the type takes to boot. */
    public static final String STARTUP_S = "startupS";

    /** The address of the leader, for whoever asked another controller. */
    public static final String LEADER = "foreman";

    /** A key of the state service. */
    public static final String KEY = "path";

    /** The value of a key. */
    public static final String VALUE = "data";

    /** The revision of a key's last change. */
    public static final String VERSION = "lastTouch";

    /** The revision of the whole state service. */
    public static final String REVISION = "ledgerRev";

    /** A lease. */
    public static final String LEASE = "hold";

    private ProtocolFields() {}
}
