package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.beechhoist.wire.Codec;

/**
 * A user sends a submission whose text is not UTF-8: the name of its class was cut in the middle of a character outside
 * the basic plane. The rule: it is answered with 400, and no controller ends by itself.
 */
public final class Case1 {
    /** On the page: for up to 60 s. */
    private static final long RETRY_MS = 30_000;
    private static final String CUT = "XYZ";
    /** The first half of U+20BB7, a character of Japanese names, alone: no UTF-8 text. */
    private static final byte[] HALF_CHARACTER = {(byte) 0xED, (byte) 0xA1, (byte) 0x82};

    private Case1() {}

    private static byte[] cutInCharacter(ObjectNode job) {
        byte[] body = Codec.encode(job);
        int at = new String(body, StandardCharsets.ISO_8859_1).indexOf(CUT);
        System.arraycopy(HALF_CHARACTER, 0, body, at, HALF_CHARACTER.length);
        return body;
    }

    public static void main(String[] args) throws Exception {
        int code = Harness.COULD_NOT_RUN;
        try (Harness harness = new Harness(Path.of(args[0]))) {
            harness.startRegion(0, "-");
            harness.startControllers(false);
            code = play(harness);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static int play(Harness harness) throws Exception {
        if (!harness.submit(Harness.job("job-000001", "keysign", 2, 4, 8.5, 60), 40_000)) {
            return Harness.COULD_NOT_RUN;
        }
        ObjectNode job = Harness.job("job-000002", "keysign-" + CUT, 1, 4, 8.5, 5);
        byte[] body = Harness.hasTrouble() ? cutInCharacter(job) : Codec.encode(job);
        int ends = 0;
        int finalStatus = 0;
        long until = harness.sinceStartMs() + RETRY_MS;
        // As on the page: retried 1 s after a failure, at another node each time.
        for (int i = 0; finalStatus == 0 && harness.sinceStartMs() < until; i++) {
            Harness.Answer answer = harness.call(i % 3, "POST", "/v1/jobs", body, 5000);
            harness.log("user: submits job-000002 to node " + i % 3 + ": " + answer.status() + " " + answer.body());
            if (answer.status() == 400 || answer.status() == 200 || answer.status() == 201) {
                finalStatus = answer.status();
            }
            Harness.sleep(1000);
            ends = harness.supervise(false);
        }
        harness.log("user: status of job-000001: " + harness.status(0, "job-000001"));
        ends = harness.supervise(false);
        harness.log("result: " + ends + " controllers ended by themselves; the submission was answered with "
                + finalStatus);
        return ends > 0 ? Harness.BROKEN : Harness.HELD;
    }
}
