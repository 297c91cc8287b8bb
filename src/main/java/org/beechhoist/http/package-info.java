/**
 * HTTP/1.1 messages and an incremental parser that rejects messages that are too large. Does no I/O and depends on no other
 * package of this project.
 */
package org.beechhoist.http;
