/**
 * HTTP/1.1 messages and their parser, which takes bytes as they come and refuses what is too large. No I/O; depends on nothing else
 * of the program.
 */
package org.beechhoist.http;
