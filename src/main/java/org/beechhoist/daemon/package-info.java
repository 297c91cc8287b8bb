/**
 * The process of a controller node: joins the state machine {@code controller.Controller} to the network, the clock and the peers'
 * messages, on one thread.
 */
package org.beechhoist.daemon;
