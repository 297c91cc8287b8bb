/**
 * The messages of the platform's protocol and the small types in them: ids, versions, times, the fencing token.
 *
 * <p>The protocol has field names of its own; they are mapped to the usual terms here and nowhere else (see {@link
 * org.beechhoist.wire.ProtocolFields} and docs/glossary.md). Bodies are read into typed messages, and what does not fit is refused
 * with a {@link org.beechhoist.wire.MalformedMessageException} that names the field. Depends on no other package of the program.
 */
package org.beechhoist.wire;
