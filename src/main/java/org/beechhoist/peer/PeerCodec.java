package org.beechhoist.peer;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.avro.Schema;
import org.apache.avro.SchemaNormalization;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericDatumReader;
import org.apache.avro.generic.GenericDatumWriter;
import org.apache.avro.generic.GenericRecord;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MalformedMessageException;

/**
 * Avro between controllers: the schema's fingerprint, then the binary record. A message of another schema is refused
 * as malformed: what the nodes tell one another are hints, and they do without.
 */
public final class PeerCodec {
    private static final int FINGERPRINT = 8;
    /** Told so that nodes of other forms are of another schema: a leader writes no form that some node does not read. */
    private static final int RECORD_FORM = 2;
    /** A leader tells of some hundred jobs at once. */
    public static final int MAX_BYTES = 64 * 1024;

    private final Schema schema;
    private final byte[] fingerprint = new byte[FINGERPRINT];

    /** Reads the schema {@code peer.avsc} and computes its fingerprint. */
    public PeerCodec() {
        try (InputStream in = PeerCodec.class.getResourceAsStream("/peer.avsc")) {
            schema = new Schema.Parser().parse(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        long parsed = SchemaNormalization.parsingFingerprint64(schema);
        for (int i = 0; i < FINGERPRINT; i++) {
            fingerprint[i] = (byte) (parsed >> (8 * i));
        }
    }

    /** The message as it is sent: the schema's fingerprint, then the Avro record. */
    public byte[] encode(PeerState state) {
        GenericRecord record = new GenericData.Record(schema);
        record.put("node", state.node());
        record.put("leading", state.leading());
        record.put("baton", state.fencingToken().value());
        record.put("storeAnswersMs", state.msSinceStoreAnswer());
        record.put("ready", state.ready());
        record.put("reportsHeard", state.heartbeatsReceived());
        record.put("writesWanted", state.writeDemand());
        record.put("requestsWanted", state.requestDemand());
        record.put("recordForm", RECORD_FORM);
        Schema count = schema.getField("counts").schema().getElementType();
        List<GenericRecord> counts = new ArrayList<>();
        for (JobCount jobCount : state.jobCounts()) {
            GenericRecord nested = new GenericData.Record(count);
            nested.put("job", jobCount.job().text());
            nested.put("done", jobCount.done());
            nested.put("running", jobCount.running());
            counts.add(nested);
        }
        record.put("counts", counts);
        Schema one = schema.getField("cancelled").schema().getElementType();
        List<GenericRecord> cancelled = new ArrayList<>();
        for (CancelledJob cancelledJob : state.cancelledJobs()) {
            GenericRecord nested = new GenericData.Record(one);
            nested.put("job", cancelledJob.job().text());
            nested.put("wallMs", cancelledJob.wallMs());
            cancelled.add(nested);
        }
        record.put("cancelled", cancelled);
        record.put(
                "acknowledged",
                state.acknowledgedCancellations().stream().map(JobId::text).toList());
        ByteArrayOutputStream out = new ByteArrayOutputStream(64);
        out.writeBytes(fingerprint);
        BinaryEncoder encoder = EncoderFactory.get().directBinaryEncoder(out, null);
        try {
            new GenericDatumWriter<GenericRecord>(schema).write(record, encoder);
            encoder.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // memory doesn't fail
        }
        return out.toByteArray();
    }

    /**
     * Reads a message.
     *
     * @throws MalformedMessageException if it has another schema, is too large or is no record
     */
    public PeerState decode(byte[] bytes) throws MalformedMessageException {
        if (bytes.length < FINGERPRINT
                || bytes.length > MAX_BYTES
                || !Arrays.equals(bytes, 0, FINGERPRINT, fingerprint, 0, FINGERPRINT)) {
            throw new MalformedMessageException("another schema");
        }
        try {
            GenericRecord record = new GenericDatumReader<GenericRecord>(schema)
                    .read(
                            null,
                            DecoderFactory.get().binaryDecoder(bytes, FINGERPRINT, bytes.length - FINGERPRINT, null));
            List<JobCount> counts = new ArrayList<>();
            for (Object element : (List<?>) record.get("counts")) {
                GenericRecord nested = (GenericRecord) element;
                counts.add(new JobCount(new JobId(nested.get("job").toString()), (Integer) nested.get("done"), (Integer)
                        nested.get("running")));
            }
            List<CancelledJob> cancelled = new ArrayList<>();
            for (Object element : (List<?>) record.get("cancelled")) {
                GenericRecord n = (GenericRecord) element;
                cancelled.add(new CancelledJob(new JobId(n.get("job").toString()), (Long) n.get("wallMs")));
            }
            List<JobId> acknowledged = new ArrayList<>();
            for (Object o : (List<?>) record.get("acknowledged")) {
                acknowledged.add(new JobId(o.toString()));
            }
            return new PeerState(
                    record.get("node").toString(),
                    (Boolean) record.get("leading"),
                    new FencingToken((Long) record.get("baton")),
                    (Long) record.get("storeAnswersMs"),
                    (Boolean) record.get("ready"),
                    (Integer) record.get("reportsHeard"),
                    (Double) record.get("writesWanted"),
                    (Double) record.get("requestsWanted"),
                    counts,
                    cancelled,
                    acknowledged);
        } catch (IOException | RuntimeException e) {
            throw new MalformedMessageException("not a record");
        }
    }
}
