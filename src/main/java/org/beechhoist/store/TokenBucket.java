package org.beechhoist.store;

import org.beechhoist.wire.MonotonicTime;

/**
 * A rate limit with bursts of up to one second's worth of tokens. What must not wait may overdraw the bucket; what comes later then
 * waits longer. It also sums up the demand, so that nodes can divide a common limit.
 */
public final class TokenBucket {
    private double rate;
    private double capacity;
    private double tokens;
    private MonotonicTime last = MonotonicTime.ZERO;
    private double demand;

    /**
     * A full bucket.
     *
     * @param rate tokens per second
     */
    public TokenBucket(double rate) {
        this.rate = rate;
        this.capacity = Math.max(1, rate);
        this.tokens = rate;
    }

    /**
     * Changes the rate.
     *
     * @param least the least capacity, however low the rate
     */
    public void setRate(double perSecond, double least) {
        rate = perSecond;
        capacity = Math.max(least, rate);
        tokens = Math.min(tokens, capacity);
    }

    /** The most tokens that the bucket holds: what can be taken at once after a quiet period. */
    public double capacity() {
        return capacity;
    }

    /** Tokens per second. */
    public double rate() {
        return rate;
    }

    private void refill(MonotonicTime now) {
        if (last != MonotonicTime.ZERO) {
            tokens = Math.min(capacity, tokens + rate * now.since(last) / 1000.0);
        }
        last = now;
    }

    /** Counts demand that was not attempted because no tokens were there. */
    public void recordMissed(double amount) {
        demand += amount;
    }

    /** The tokens that were taken, attempted or missed since the last call. */
    public double drainDemand() {
        double amount = demand;
        demand = 0;
        return amount;
    }

    /** How many tokens can be taken now. */
    public double available(MonotonicTime now) {
        refill(now);
        return tokens;
    }

    /** Takes so many tokens if they are there; returns whether they were. */
    public boolean tryTake(MonotonicTime now, double amount) {
        refill(now);
        demand += amount;
        if (tokens < amount) {
            return false;
        }
        tokens -= amount;
        return true;
    }

    /** Takes so many tokens even if they are not there, down to one second's worth below zero. */
    public void takeOrOverdraw(MonotonicTime now, double amount) {
        refill(now);
        demand += amount;
        tokens = Math.max(-rate, tokens - amount);
    }
}
