/**
 * What the controllers tell one another once a second and when something must be known at once, as Avro records.
 *
 * <p>All of it is a hint: no right to command follows from it, and a message of another schema is ignored. The schema is {@code
 * peer.avsc}. Depends on {@code wire}.
 */
package org.beechhoist.peer;
