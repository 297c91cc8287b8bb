package org.beechhoist.store;

import org.beechhoist.wire.MonotonicTime;

/** A token bucket that holds a second's worth. What must not wait may overdraw it; others then wait longer. */
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

    /** @param least what may be taken at once after a quiet while, however low the rate */
    public void setRate(double perSecond, double least) {
        rate = perSecond;
        capacity = Math.max(least, rate);
        tokens = Math.min(tokens, capacity);
    }

    /** What may be taken at once after a quiet while. */
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

    /** Somebody would have taken that, and did not try, for it was not there. */
    public void recordMissed(double amount) {
        demand += amount;
    }

    /** What was taken, tried or missed since the last call. */
    public double drainDemand() {
        double amount = demand;
        demand = 0;
        return amount;
    }

    /** How much may be taken now. */
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
