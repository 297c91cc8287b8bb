/**
 * Messages between controllers as Avro records, sent once a second and immediately after urgent changes.
 *
 * <p>They are hints: they give no node the authority to issue commands, and a message of another schema is ignored. The schema is
 * {@code peer.avsc}. Depends on {@code wire}.
 */
package org.beechhoist.peer;
