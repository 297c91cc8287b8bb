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
import org.apache.avro.io.BinaryDecoder;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import org.beechhoist.wire.FencingToken;
import org.beechhoist.wire.JobId;
import org.beechhoist.wire.MalformedMessageException;

/**
 * The messages between controllers as bytes: the fingerprint of the Avro schema, then the binary record. A message of another
 * schema is refused as malformed; nodes of different versions do without one another's hints.
 */
public final class PeerCodec {
    /** Bytes of the schema's fingerprint at the beginning of each message. */
    private static final int FINGERPRINT = 8;

    private static final int USUAL_BYTES = 64;
    /** The newest form of records that this version reads; a leader writes no form that some node does not read. */
    private static final int RECORD_FORM = 2;
    /** The largest message that is read; a leader tells of some hundred jobs at once. */
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
        record.put("counts", state.jobCounts().stream().map(this::jobCount).toList());
        record.put(
                "cancelled",
                state.cancelledJobs().stream().map(this::cancelledJob).toList());
        record.put(
                "acknowledged",
                state.acknowledgedCancellations().stream().map(JobId::text).toList());
        ByteArrayOutputStream out = new ByteArrayOutputStream(USUAL_BYTES);
        out.writeBytes(fingerprint);
        BinaryEncoder encoder = EncoderFactory.get().directBinaryEncoder(out, null);
        try {
            new GenericDatumWriter<GenericRecord>(schema).write(record, encoder);
            encoder.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // an output stream in memory does not fail
        }
        return out.toByteArray();
    }

    private GenericRecord jobCount(JobCount count) {
        GenericRecord record =
                new GenericData.Record(schema.getField("counts").schema().getElementType());
        record.put("job", count.job().text());
        record.put("done", count.done());
        record.put("running", count.running());
        return record;
    }

    private GenericRecord cancelledJob(CancelledJob job) {
        GenericRecord record =
                new GenericData.Record(schema.getField("cancelled").schema().getElementType());
        record.put("job", job.job().text());
        record.put("wallMs", job.wallMs());
        return record;
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
            BinaryDecoder decoder =
                    DecoderFactory.get().binaryDecoder(bytes, FINGERPRINT, bytes.length - FINGERPRINT, null);
            return peerState(new GenericDatumReader<GenericRecord>(schema).read(null, decoder));
        } catch (IOException | RuntimeException e) {
            throw new MalformedMessageException("not a record");
        }
    }

    private static PeerState peerState(GenericRecord record) {
        List<JobCount> counts = new ArrayList<>();
        for (Object element : (List<?>) record.get("counts")) {
            GenericRecord count = (GenericRecord) element;
            counts.add(new JobCount(jobId(count), (Integer) count.get("done"), (Integer) count.get("running")));
        }
        List<CancelledJob> cancelled = new ArrayList<>();
        for (Object element : (List<?>) record.get("cancelled")) {
            GenericRecord job = (GenericRecord) element;
            cancelled.add(new CancelledJob(jobId(job), (Long) job.get("wallMs")));
        }
        List<JobId> acknowledged = new ArrayList<>();
        for (Object element : (List<?>) record.get("acknowledged")) {
            acknowledged.add(new JobId(element.toString()));
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
    }

    private static JobId jobId(GenericRecord record) {
        return new JobId(record.get("job").toString());
    }
}
