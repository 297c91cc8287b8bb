/**
 * Which jobs can still be in time together when more is asked than the machines can do. Pure: it is handed what waits and
 * what there is, and says who is left behind. Limits: none of its own; cost by jobs and their logarithm.
 */
package org.beechhoist.triage;
