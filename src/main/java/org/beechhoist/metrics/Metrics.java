package org.beechhoist.metrics;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.beechhoist.wire.Codec;

/** Counters and latency histograms of one running node. */
public final class Metrics {
    private static final long MAX_LATENCY_MS = 60_000;
    private static final int SIGNIFICANT_DIGITS = 2;

    private final Map<String, Long> counters = new TreeMap<>();
    private final Map<String, Histogram> latencies = new TreeMap<>();

    /** Increments a counter by one. */
    public void increment(String name) {
        counters.merge(name, 1L, Long::sum);
    }

    /** Records a latency in milliseconds, limited to between 1 and {@code MAX_LATENCY_MS}. */
    public void recordLatency(String name, long ms) {
        latencies
                .computeIfAbsent(name, k -> new Histogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS))
                .recordValue(Math.max(1, Math.min(MAX_LATENCY_MS, ms)));
    }

    /** Returns the counters and latency percentiles in the form of the view {@code metrics}. */
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
