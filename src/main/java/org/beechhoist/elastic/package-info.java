/**
 * Decisions about elastic jobs: which tasks end when a job has more than its width, how each is terminated with the
 * least work lost, and when elastic jobs may grow onto a machine again. Stateless; called by {@code
 * controller.ElasticWidths}.
 */
package org.beechhoist.elastic;
