package org.beechhoist.metrics;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.beechhoist.wire.Codec;

/** Counters and latency histograms of one node, readable while it runs. */
public final class Metrics {
    private static final long LONGEST_MS = 60_000;
    private static final int DIGITS = 2;

    private final Map<String, Long> counters = new TreeMap<>();
    private final Map<String, Histogram> latencies = new TreeMap<>();

    /** Adds one to a counter. */
    public void increment(String name) {
        counters.merge(name, 1L, Long::sum);
    }

    /** Records a latency in milliseconds. */
    public void recordLatency(String name, long ms) {
        latencies
                .computeIfAbsent(name, k -> new Histogram(1, LONGEST_MS, DIGITS))
                .recordValue(Math.max(1, Math.min(LONGEST_MS, ms)));
    }

    /** The counters and the percentiles of the latencies, as the view {@code metrics} shows them. */
    public ObjectNode toNode() {
        ObjectNode out = Codec.map();
        ObjectNode counterNode = out.putObject("counters");
        counters.forEach(counterNode::put);
        ObjectNode latencyNode = out.putObject("latenciesMs");
        latencies.forEach((name, histogram) -> latencyNode
                .putObject(name)
                .put("count", histogram.getTotalCount())
                .put("p50", histogram.getValueAtPercentile(50))
                .put("p95", histogram.getValueAtPercentile(95))
                .put("p99", histogram.getValueAtPercentile(99))
                .put("max", histogram.getMaxValue()));
        return out;
    }
}
