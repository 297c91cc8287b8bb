/** Counters and latency histograms of a node, shown in the view {@code metrics}. Depends on {@code wire}. */
package org.beechhoist.metrics;
