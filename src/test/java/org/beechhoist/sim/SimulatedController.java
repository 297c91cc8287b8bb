package org.beechhoist.sim;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import org.beechhoist.config.Settings;
import org.beechhoist.controller.Controller;
import org.beechhoist.controller.context.Effect;
import org.beechhoist.metrics.Metrics;
import org.beechhoist.wire.CallResult;
import org.beechhoist.wire.MonotonicTime;

/** A controller process; its life counts restarts, and messages of an earlier life find nobody. */
final class SimulatedController {
    /** In a record's text: the type's name before the bracket, a component's name before the equals sign. */
    private static final Pattern RECORD_NAMES = Pattern.compile("\\b[A-Z]\\w*(?=\\[)|\\b[a-z]\\w*=");

    final World world;
    final int index;
    Controller core;
    int life;
    long startedAt;
    long drift;
    /** The state service refuses it alone until then; its open watches wait. */
    long refusedUntil;

    final Map<Long, Consumer<Effect.Respond>> open = new HashMap<>();
    long nextRequest = 1;
    long wakeAt = Long.MAX_VALUE;
    /** It stands still until then, while its clocks run on; what comes meanwhile is waiting for it. */
    long frozenUntil;

    final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    Predicate<Effect> freezeAt;
    long freezeMs;
    /** Until when workers, the state service, or anybody, can't reach it or be reached from it. */
    long workersCutUntil;
    /** Null, or the only zone whose workers it is not cut off from meanwhile. */
    String cutBut;

    long stateCutUntil;
    long peersCutUntil;
    /** Whether calls to the state service fail at once while it is cut, instead of hanging. */
    boolean cutRefuses;
    /** Its requests arrive, and no answer comes back. */
    boolean cutOneWay;
    /** Until when what it says reaches no worker, though it hears them. */
    long muteUntil;

    Predicate<Effect> crashAt;
    long backMs;
    /** What happens to the messages that reach it. */
    Damage damage = Damage.NONE;

    SimulatedController(World world, int index) {
        this.world = world;
        this.index = index;
    }

    MonotonicTime clock() {
        long age = world.now - startedAt;
        return new MonotonicTime(1_000_000 + age + age * drift / 100_000);
    }

    long wall() {
        return world.wall() + world.wallOff[index];
    }

    void boot() {
        life++;
        startedAt = world.now;
        drift = world.random.nextInt(-50, 51);
        open.clear();
        waiting.clear();
        frozenUntil = 0;
        freezeAt = null;
        wakeAt = Long.MAX_VALUE;
        try {
            core = new Controller(
                    Settings.parse(world.scale.extent().settings(index, world.nodes.length, world.scale.reportMs())),
                    world.scale.policy(),
                    new Metrics(),
                    world.random.nextLong());
        } catch (Settings.Bad e) {
            throw new IllegalStateException(e);
        }
        core.start(clock(), wall());
        carryOut();
    }

    void kill() {
        core = null;
        life++;
    }

    /** Stands still in the middle of whatever it does next that is like this, before it does it. */
    void freezeAt(Predicate<Effect> step, long ms) {
        freezeAt = step;
        freezeMs = ms;
    }

    void freeze(long ms) {
        frozenUntil = world.now + ms;
        int then = life;
        world.later(ms, () -> {
            if (life == then) {
                thaw();
            }
        });
    }

    void thaw() {
        while (!waiting.isEmpty() && world.now >= frozenUntil && core != null) {
            waiting.poll().run();
        }
    }

    /** Something reaches the process: at once, or once it goes on. */
    void input(Runnable r) {
        if (world.now < frozenUntil) {
            waiting.add(r);
        } else {
            r.run();
        }
    }

    /** The effect's values without the names of its types and components: a renaming keeps every fingerprint. */
    private static String values(Effect effect) {
        return RECORD_NAMES.matcher(effect.toString()).replaceAll("");
    }

    void carryOut() {
        for (Throwable failure : core.drainFailures()) {
            throw new AssertionError("an unexpected exception in the controller", failure);
        }
        carryOut(new ArrayDeque<>(core.drainEffects()));
    }

    void carryOut(ArrayDeque<Effect> effects) {
        carryOut(effects, world.now);
    }

    void carryOut(ArrayDeque<Effect> effects, long decidedAt) {
        while (!effects.isEmpty()) {
            Effect e = effects.poll();
            if (freezeAt != null && freezeAt.test(e)) {
                freezeAt = null;
                effects.addFirst(e);
                waiting.addFirst(() -> carryOut(effects, decidedAt));
                world.frozen++;
                world.trouble(freezeMs);
                freeze(freezeMs);
                return;
            }
            if (crashAt != null && crashAt.test(e)) {
                // It ends just after this step: what it sent is on its way, and nobody is there for the answer.
                crashAt = null;
                world.crashed++;
                effects.clear();
                long back = backMs;
                world.later(0, () -> world.crash(index, back));
            }
            if (world.fingerprinted) {
                world.fingerprint =
                        31 * (31 * world.fingerprint + world.now) + values(e).hashCode();
            }
            if (e instanceof Effect.Respond decided) {
                Effect.Respond a = decided.asOf(clock());
                world.performed.accept(world.now - decidedAt, a);
                Consumer<Effect.Respond> then = open.remove(a.request());
                if (then == null) {
                    throw new AssertionError("a request was answered twice, or nobody asked");
                }
                then.accept(a);
            } else if (e instanceof Effect.Call c) {
                if (c.isExpired(clock())) {
                    int then = life;
                    world.later(0, () -> {
                        if (life == then) {
                            input(() -> outcome(c.id(), CallResult.NOT_SENT));
                        }
                    });
                } else {
                    world.performed.accept(world.now - decidedAt, c);
                    world.carry(this, c);
                }
            } else if (e instanceof Effect.PublishToPeers t) {
                world.tell(this, t.state());
            }
        }
        if (core == null) {
            return;
        }
        MonotonicTime at = core.nextWakeAt();
        if (at != null) {
            long in = Math.max(0, at.ms() - clock().ms()) + 1;
            int then = life;
            if (world.now + in < wakeAt || wakeAt <= world.now) {
                wakeAt = world.now + in;
                long mine = wakeAt;
                world.later(in, () -> {
                    if (life == then) {
                        input(() -> {
                            if (wakeAt == mine) {
                                wakeAt = Long.MAX_VALUE;
                            }
                            long from = System.nanoTime();
                            core.handleTimer(clock(), wall());
                            world.counted.coreNanos += System.nanoTime() - from;
                            carryOut();
                        });
                    }
                });
            }
        }
    }

    void outcome(long call, CallResult o) {
        long from = System.nanoTime();
        core.handleCallResult(clock(), wall(), call, damage.ofResult(o));
        world.counted.coreNanos += System.nanoTime() - from;
        carryOut();
    }

    void request(String method, String path, byte[] body, Consumer<Effect.Respond> then) {
        input(() -> {
            long id = nextRequest++;
            open.put(id, then);
            long from = System.nanoTime();
            core.handleRequest(clock(), wall(), id, method, path, damage.ofBody(path, body));
            world.counted.coreNanos += System.nanoTime() - from;
            world.counted.checkinNanos += path.equals("/checkin") ? System.nanoTime() - from : 0;
            if (core != null) {
                carryOut();
            }
        });
    }
}
