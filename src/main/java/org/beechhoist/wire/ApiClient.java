package org.beechhoist.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

/** The users' interface from the users' side: asks one node after the other until one answers. */
public final class ApiClient {
    /** An answer; the body is an empty map where there was none. */
    public record Answer(int status, JsonNode body) {}

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private final List<InetSocketAddress> nodes;
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();

    /**
     * Talks to these nodes, the first one first.
     *
     * @param nodes the public addresses of controllers, of which any may answer
     */
    public ApiClient(List<InetSocketAddress> nodes) {
        this.nodes = List.copyOf(nodes);
    }

    /** Submits a job. Repeating it is safe: a known job id answers with the job's state. */
    public Answer submit(JobSpec spec) throws IOException {
        return call("POST", "/v1/jobs", Codec.encode(spec.toNode()));
    }

    /** Asks for a job's state. */
    public Answer status(JobId jobId) throws IOException {
        return call("GET", "/v1/jobs/" + jobId, null);
    }

    /** Cancels a job. Repeating it is safe. */
    public Answer cancel(JobId jobId) throws IOException {
        return call("POST", "/v1/jobs/" + jobId + "/cancel", new byte[0]);
    }

    /** Changes how many of a job's tasks may be on machines at once. */
    public Answer resize(JobId jobId, ResizeRequest resize) throws IOException {
        return call("POST", "/v1/jobs/" + jobId + "/width", Codec.encode(resize.toNode()));
    }

    /** An operator's view: {@code plan}, {@code hosts}, {@code teams} or {@code metrics}. */
    public Answer view(String name) throws IOException {
        return call("GET", "/v1/" + name, null);
    }

    /** Any other question; {@code body} is null for none. */
    public Answer ask(String method, String path, JsonNode body) throws IOException {
        return call(method, path, body == null ? null : Codec.encode(body));
    }

    private Answer call(String method, String path, byte[] body) throws IOException {
        IOException last = new IOException("no node given");
        Answer refused = null;
        for (InetSocketAddress node : nodes) {
            try {
                HttpRequest request = HttpRequest.newBuilder(URI.create(
                                "http://" + node.getAddress().getHostAddress() + ":" + node.getPort() + path))
                        .timeout(TIMEOUT)
                        .method(
                                method,
                                body == null
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofByteArray(body))
                        .build();
                HttpResponse<byte[]> response = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
                Answer answer = new Answer(
                        response.statusCode(),
                        response.body().length == 0 ? Codec.map() : Codec.decodeMap(response.body()));
                if (answer.status != 503 && answer.status != 421 && answer.status != 429) {
                    return answer;
                }
                refused = answer;
            } catch (IOException e) {
                last = e;
            } catch (MalformedMessageException e) {
                last = new IOException("an answer that is no CBOR map", e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
        }
        if (refused != null) {
            return refused;
        }
        throw last;
    }
}
