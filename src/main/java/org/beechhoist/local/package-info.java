/**
 * A region in one process, on loopback addresses: the stand-ins served over sockets, and controllers beside them. For the commands
 * {@code try} and {@code region}, and for tests with real sockets.
 */
package org.beechhoist.local;
