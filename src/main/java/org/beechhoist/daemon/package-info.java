/**
 * The process of a controller node. It connects the state machine {@code controller.Controller} to the network, the clock and the
 * messages of peers, on one thread.
 */
package org.beechhoist.daemon;
