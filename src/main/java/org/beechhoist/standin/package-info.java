/**
 * Stand-ins of the state service, the cloud and a worker, written from the protocol, for tests and trials. Each is a state machine that
 * is given the time and the requests, and keeps nothing on disk. Depends on {@code wire}.
 */
package org.beechhoist.standin;
