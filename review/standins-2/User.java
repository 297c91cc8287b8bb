import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.beechhoist.wire.Codec;
import org.beechhoist.wire.JobSpec;

/** A user: submits, asks and cancels, at the address of one controller or another. */
final class User {
    /** An answer; status 0: none came. */
    record Answer(int status, JsonNode body) {
        String state() {
            return body.path("status").asText("");
        }
    }

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(500))
            .build();
    private final Recorder record;
    private final Region region;

    User(Recorder record, Region region) {
        this.record = record;
        this.region = region;
    }

    private Answer send(String address, String method, String path, JsonNode body, long timeoutMs) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis(timeoutMs));
        request.method(
                method,
                body == null
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofByteArray(Codec.encode(body)));
        try {
            HttpResponse<byte[]> response = client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
            return new Answer(response.statusCode(), Region.decode(response.body()));
        } catch (IOException e) {
            return new Answer(0, Codec.map().put("error", String.valueOf(e.getMessage())));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    boolean isReady(String address) {
        return send(address, "GET", "/ready", null, 1000).status() == 200;
    }

    /** Submits a job once. */
    Answer submitOnce(String address, ObjectNode job) {
        Answer answer = send(address, "POST", "/v1/jobs", job, 5000);
        record.line("submit " + job.get("ref").asText() + " at " + address + " -> " + answer.status() + " " + answer.body());
        return answer;
    }

    /** Submits a job until it is accepted or refused, for 60 s at most. */
    Answer submit(String address, ObjectNode job) throws Exception {
        region.upload(job.get("ref").asText(), JobSpec.parse(job));
        Answer answer = new Answer(0, Codec.map());
        for (int tries = 0; tries < 20; tries++) {
            answer = submitOnce(address, job);
            if (answer.status() == 200 || answer.status() == 201 || answer.status() == 400 || answer.status() == 422) {
                return answer;
            }
            Thread.sleep(1000);
        }
        return answer;
    }

    /** Asks about a job once. */
    Answer poll(String address, String job) {
        long at = record.ms();
        Answer answer = send(address, "GET", "/v1/jobs/" + job, null, 2000);
        record.line("poll " + job + " at " + address + " (sent at " + at / 1000.0 + ") -> " + answer.status() + " "
                + answer.body());
        return answer;
    }

    /** Cancels a job once. */
    Answer cancel(String address, String job) {
        long at = record.ms();
        Answer answer = send(address, "POST", "/v1/jobs/" + job + "/cancel", Codec.map(), 5000);
        record.line("cancel " + job + " at " + address + " (sent at " + at / 1000.0 + ") -> " + answer.status() + " "
                + answer.body());
        return answer;
    }

    /** The operators' view of a node, or null if it does not lead. */
    JsonNode view(String address, String path) {
        Answer answer = send(address, "GET", path, null, 2000);
        return answer.status() == 200 ? answer.body() : null;
    }
}
