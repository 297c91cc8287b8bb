package review;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import org.beechhoist.config.Addresses;
import org.beechhoist.net.EventLoop;
import org.beechhoist.net.HttpClient;
import org.beechhoist.net.HttpServer;
import org.beechhoist.wire.Codec;

/**
 * Stands before the stand-in of the state service and adds the limit of requests per second that the page sets: above it
 * the answer is 429, with bursts of one second's worth.
 *
 * <p>Arguments: own address, address of the state service, requests per second.
 */
public final class StateProxy {
    private static final String CBOR = "application/cbor";
    private static final long TIMEOUT_MS = 70_000;

    private StateProxy() {}

    public static void main(String[] args) throws Exception {
        EventLoop loop = new EventLoop();
        HttpClient client = new HttpClient(loop, CBOR, 200);
        InetSocketAddress behind = Addresses.parse(args[1]);
        double rate = Double.parseDouble(args[2]);
        double[] tokens = {rate};
        long[] last = {loop.now().ms()};
        long[] counts = new long[2];
        byte[] refused = Codec.encode(Codec.map().put("error", "too many requests"));
        new HttpServer(loop, Addresses.parse(args[0]), 0, 500, (message, responder) -> {
            long now = loop.now().ms();
            tokens[0] = Math.min(rate, tokens[0] + rate * (now - last[0]) / 1000.0);
            last[0] = now;
            counts[0]++;
            if (tokens[0] < 1) {
                counts[1]++;
                responder.respond(429, CBOR, refused, 0);
                return;
            }
            tokens[0]--;
            byte[] body = message.body().length == 0 ? null : message.body();
            client.request(behind, message.method(), message.target(), body, TIMEOUT_MS, outcome -> {
                if (outcome instanceof HttpClient.Response response) {
                    responder.respond(response.status(), CBOR, response.body(), 0);
                }
            });
        });
        report(loop, counts);
        loop.run();
    }

    private static void report(EventLoop loop, long[] counts) {
        System.out.println("requests " + counts[0] + " refused " + counts[1]);
        counts[0] = 0;
        counts[1] = 0;
        loop.schedule(1000, () -> report(loop, counts));
    }
}
