import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.beechhoist.http.HttpMessage;
import org.beechhoist.net.HttpServer;
import org.beechhoist.wire.Codec;

/**
 * The state service counts its changes from a large number on: with the trouble its revisions pass 10^12 after some jobs were
 * accepted, without it they stay a million below.
 */
final class Case8 extends Case {
    private static final long TWELVE_DIGITS = 1_000_000_000_000L;
    private static final int JOBS = 12;
    /** An accepted job about which no question is answered for so long counts as forgotten. */
    private static final long UNANSWERED_MS = 75_000;

    private long offset;

    public static void main(String[] args) {
        new Case8().runIn(Path.of(args[0]));
    }

    @Override
    int play() throws Exception {
        offset = TWELVE_DIGITS - (trouble ? 12 : 1_000_000);
        build(
                new Region.Layout(Sites.HEREDIA_TYPES, 2, 16, 8192, 3000, 26_000, 8000, 3),
                Sites.HEREDIA_ZONES,
                Sites.HEREDIA);
        record.line("the state service counts its changes from " + offset + " on");
        region.stateFilter = this::shifted;
        region.runs = (task, host) -> 10_000L;
        for (String zone : Sites.HEREDIA_ZONES) {
            region.machinesAtStart("jaguar32", zone, 1);
        }
        startControllers();
        List<String> accepted = new ArrayList<>();
        for (int i = 1; i <= JOBS; i++) {
            String job = String.format("job-%06d", i);
            ObjectNode spec = Sites.job(job, "podscan", "cadena", "normal", 2, 4, 5.4).put("pullGb", 0.3).put("loaner", false);
            region.upload(job, org.beechhoist.wire.JobSpec.parse(spec));
            User.Answer answer = user.submitOnce(controllers.publicAddress(i % 3), spec);
            if (answer.status() == 201 || answer.status() == 200) {
                accepted.add(job);
            }
            sleep(300);
        }
        if (accepted.isEmpty()) {
            return NOT_RUN;
        }
        Map<String, Long> answeredAt = new LinkedHashMap<>();
        accepted.forEach(job -> answeredAt.put(job, record.ms()));
        long longest = 0;
        long begin = record.ms();
        while (longest <= UNANSWERED_MS && record.ms() < begin + UNANSWERED_MS + 8000) {
            for (String job : accepted) {
                for (int i = 0; i < 3; i++) {
                    int status = user.poll(controllers.publicAddress(i), job).status();
                    if (status == 200) {
                        answeredAt.put(job, record.ms());
                    }
                }
                longest = Math.max(longest, record.ms() - answeredAt.get(job));
            }
            if (!trouble && record.ms() > begin + 25_000) {
                break;
            }
            sleep(5000);
        }
        for (String job : accepted) {
            record.line(job + " was accepted; its last answer came " + (record.ms() - answeredAt.get(job)) / 1000.0
                    + " s ago, tasks completed: " + region.finished(job) + " of 2");
        }
        record.line("longest time without an answer about an accepted job: " + longest / 1000.0 + " s; a controller leads: " + (leader() >= 0));
        return longest > UNANSWERED_MS ? BROKEN : HELD;
    }

    /** Hands a request on to the state service with smaller revisions, and answers it with the larger ones. */
    private boolean shifted(int node, HttpMessage message, JsonNode body, HttpServer.Responder responder) {
        shift(body, -offset);
        String target = message.target();
        if (target.startsWith("/changes")) {
            int start = target.indexOf("&after=") + "&after=".length();
            int end = target.indexOf('&', start);
            long after = Long.parseLong(target.substring(start, end));
            target = target.substring(0, start) + Math.max(0, after - offset) + target.substring(end);
        }
        region.forwardToState(
                new HttpMessage(message.method(), target, 0, message.headers(), message.body()),
                body,
                (status, type, answer, retry) -> {
                    JsonNode node2 = Region.decode(answer);
                    shift(node2, offset);
                    responder.respond(status, type, Codec.encode(node2), retry);
                });
        return true;
    }

    private static void shift(JsonNode node, long by) {
        for (String field : List.of("ledgerRev", "lastTouch")) {
            if (node.path(field).asLong() > 0) {
                ((ObjectNode) node).put(field, node.get(field).asLong() + by);
            }
        }
        for (String field : List.of("items", "log", "guards")) {
            node.path(field).forEach(element -> shift(element, by));
        }
    }
}
