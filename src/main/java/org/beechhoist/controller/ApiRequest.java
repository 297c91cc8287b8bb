package org.beechhoist.controller;

/**
 * A request on the public address.
 *
 * @param id the request's number, which the response repeats
 * @param path the target without its query
 * @param query the part of the target after the question mark; empty if there is none
 */
record ApiRequest(long id, String method, String path, String query, byte[] body) {
    /** Returns a request whose target is split into path and query. */
    static ApiRequest of(long id, String method, String target, byte[] body) {
        int mark = target.indexOf('?');
        if (mark < 0) {
            return new ApiRequest(id, method, target, "", body);
        }
        return new ApiRequest(id, method, target.substring(0, mark), target.substring(mark + 1), body);
    }
}
