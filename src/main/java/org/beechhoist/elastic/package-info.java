/**
 * Decisions about jobs whose width changes while they run: which tasks end when a job has too many, how each is ended with the least
 * work lost, and when a machine may be widened onto again. Pure; {@code controller.ElasticWidths} asks them.
 */
package org.beechhoist.elastic;
