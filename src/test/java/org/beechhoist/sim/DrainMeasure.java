package org.beechhoist.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/** A fleet replaced in steps, against stopping all at once and against only waiting, for docs/measurements.md: {@code mvn -q -Dtest=DrainMeasure -Ddrain.kinds=60,220 test}. */
class DrainMeasure {
    private static final long ENDS_MS = 700_000;

    private static void play(String how, int perKind, int atOnce, Consumer<ObjectNode> body) {
        DrainNight night = new DrainNight(1, perKind, 300_000, DrainTest.ON);
        World w = night.w;
        w.runUntil(DrainNight.PUT_MS - 10_000);
        if (how.equals("none")) {
            w.later(10_000, () -> night.meant.addAll(w.machineNames()));
        } else {
            DrainTest.ask(w, "/v1/budgets/default/put", n -> n.put("team", "default")
                    .put("atOnce", atOnce)
                    .put("lostCpuSPerHour", 1e9)
                    .put("againS", 60));
            night.replace(body);
        }
        while (w.now < ENDS_MS && (night.replacedMs < 0 || w.now < 320_000)) {
            w.runUntil(w.now + 10_000);
        }
        double[] charged = night.charged(Set.of("DRAIN", "ROLLOUT", "MOVE"));
        double[] preempted = night.charged(Set.of("PREEMPTION"));
        long urgent = 0;
        long soon = 0;
        double done = 0;
        for (UserJob j : w.allJobs()) {
            done += j.spec.isService() ? 0 : j.done.size() * j.spec.cpus() * j.spec.estimateS();
            if (j.spec.jobClass().equals("fast") && j.submittedAt > DrainNight.PUT_MS) {
                urgent += j.spec.tasks();
                soon += j.soon;
            }
        }
        System.out.printf(
                Locale.ROOT,
                "measure: drain how=%s machines=%d meant=%d replaced_after_s=%.0f left=%d stopped=%.0f lost_cpu_s=%.0f lost_share=%.4f preempted=%.0f urgent_within_4_s=%.3f"
                        + " spent=%.1f at_s=%d under_floor=%d%n",
                how,
                night.most,
                night.meant.size(),
                night.replacedMs / 1000.0,
                w.machineNames().stream().filter(night.meant::contains).count(),
                charged[0],
                charged[1],
                charged[1] / Math.max(1, done),
                preempted[0],
                (double) soon / Math.max(1, urgent),
                w.spent(),
                w.now / 1000,
                night.seen.underFloor);
    }

    @Test
    @EnabledIfSystemProperty(named = "drain.kinds", matches = "[0-9,]+")
    void howAFleetIsReplaced() {
        for (String kind : System.getProperty("drain.kinds").split(",")) {
            int perKind = Integer.parseInt(kind);
            play("none", perKind, 60, n -> {});
            play("steps", perKind, 30, n -> n.put("replace", true)
                    .put("canary", 3)
                    .put("atOnce", 100)
                    .put("spare", 50)
                    .put("holdS", 10)
                    .put("waitS", 60));
            play("at_once", perKind, 60, n -> n.put("waitS", 0));
            play("wait_only", perKind, 0, n -> n.put("waitS", 60));
        }
    }
}
