/** Counters and latency histograms of a node, for the view {@code metrics}. Depends on {@code wire}. */
package org.beechhoist.metrics;
