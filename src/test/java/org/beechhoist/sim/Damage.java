package org.beechhoist.sim;

import org.beechhoist.wire.CallResult;

/** What happens to messages on their way into a controller. */
interface Damage {
    /** Messages arrive as they were sent. */
    Damage NONE = new Damage() {};

    /** Returns the result of a call as it reaches the controller. */
    default CallResult ofResult(CallResult result) {
        return result;
    }

    /** Returns the body of a request as it reaches the controller. */
    default byte[] ofBody(String path, byte[] body) {
        return body;
    }
}
