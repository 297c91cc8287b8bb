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
import org.apache.avro.SystemLimitException;
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
 * Encodes and decodes the messages between controllers: the fingerprint of the Avro schema, then the binary record. A message of
 * another schema is rejected as malformed, so nodes of different versions do not use each other's hints.
 */
public final class PeerCodec {
    /** The length of the schema fingerprint at the start of each message. */
    private static final int FINGERPRINT_BYTES = 8;

    private static final int INITIAL_BUFFER_BYTES = 64;
    /** The newest record format that this version reads. A leader writes no format that another node cannot read. */
    private static final int RECORD_FORMAT_VERSION = 2;
    /** The largest message accepted; a leader's message covers some hundred jobs. */
    public static final int MAX_BYTES = 64 * 1024;

    static {
        // Avro allocates what a message announces before it reads it: without these limits a few bytes use up the heap.
        System.setProperty(SystemLimitException.MAX_COLLECTION_LENGTH_PROPERTY, Integer.toString(MAX_BYTES));
        System.setProperty(SystemLimitException.MAX_STRING_LENGTH_PROPERTY, Integer.toString(MAX_BYTES));
        System.setProperty(SystemLimitException.MAX_BYTES_LENGTH_PROPERTY, Integer.toString(MAX_BYTES));
    }

    private final Schema schema;
    private final byte[] fingerprint = new byte[FINGERPRINT_BYTES];

    /** Reads the schema {@code peer.avsc} and computes its fingerprint. */
    public PeerCodec() {
        try (InputStream in = PeerCodec.class.getResourceAsStream("/peer.avsc")) {
            schema = new Schema.Parser().parse(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        long fingerprint64 = SchemaNormalization.parsingFingerprint64(schema);
        for (int i = 0; i < FINGERPRINT_BYTES; i++) {
            fingerprint[i] = (byte) (fingerprint64 >> (8 * i));
        }
    }

    /** Returns the encoded message: the schema fingerprint, then the Avro record. */
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
        record.put("recordForm", RECORD_FORMAT_VERSION);
        record.put("counts", state.jobCounts().stream().map(this::jobCount).toList());
        record.put(
                "cancelled",
                state.cancelledJobs().stream().map(this::cancelledJob).toList());
        record.put(
                "acknowledged",
                state.acknowledgedCancellations().stream().map(JobId::text).toList());
        ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
        out.writeBytes(fingerprint);
        BinaryEncoder encoder = EncoderFactory.get().directBinaryEncoder(out, null);
        try {
            new GenericDatumWriter<GenericRecord>(schema).write(record, encoder);
            encoder.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // cannot happen with an in-memory stream
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
     * Decodes a message.
     *
     * @throws MalformedMessageException if the message has another schema, is too large or is not a valid record, or if a
     *     field has a value that no controller sends
     */
    public PeerState decode(byte[] bytes) throws MalformedMessageException {
        if (bytes.length < FINGERPRINT_BYTES
                || bytes.length > MAX_BYTES
                || !Arrays.equals(bytes, 0, FINGERPRINT_BYTES, fingerprint, 0, FINGERPRINT_BYTES)) {
            throw new MalformedMessageException("another schema");
        }
        try {
            BinaryDecoder decoder = DecoderFactory.get()
                    .binaryDecoder(bytes, FINGERPRINT_BYTES, bytes.length - FINGERPRINT_BYTES, null);
            return peerState(new GenericDatumReader<GenericRecord>(schema).read(null, decoder));
        } catch (IOException | RuntimeException e) {
            throw new MalformedMessageException("not a record");
        }
    }

    private static PeerState peerState(GenericRecord record) throws MalformedMessageException {
        List<JobCount> counts = new ArrayList<>();
        for (Object element : (List<?>) record.get("counts")) {
            GenericRecord count = (GenericRecord) element;
            counts.add(new JobCount(jobId(count.get("job")), count(count, "done"), count(count, "running")));
        }
        List<CancelledJob> cancelled = new ArrayList<>();
        for (Object element : (List<?>) record.get("cancelled")) {
            GenericRecord job = (GenericRecord) element;
            cancelled.add(new CancelledJob(jobId(job.get("job")), (Long) job.get("wallMs")));
        }
        List<JobId> acknowledged = new ArrayList<>();
        for (Object element : (List<?>) record.get("acknowledged")) {
            acknowledged.add(jobId(element));
        }
        return new PeerState(
                record.get("node").toString(),
                (Boolean) record.get("leading"),
                new FencingToken((Long) record.get("baton")),
                (Long) record.get("storeAnswersMs"),
                (Boolean) record.get("ready"),
                count(record, "reportsHeard"),
                demand(record, "writesWanted"),
                demand(record, "requestsWanted"),
                counts,
                cancelled,
                acknowledged);
    }

    private static JobId jobId(Object value) throws MalformedMessageException {
        String text = value.toString();
        if (!JobId.isValid(text)) {
            throw new MalformedMessageException("job: not a job id");
        }
        return new JobId(text);
    }

    private static int count(GenericRecord record, String field) throws MalformedMessageException {
        int value = (Integer) record.get(field);
        if (value < 0) {
            throw new MalformedMessageException(field + ": negative");
        }
        return value;
    }

    /** Reads a rate per second; one that is no number would make the limits of all nodes no numbers too. */
    private static double demand(GenericRecord record, String field) throws MalformedMessageException {
        double value = (Double) record.get(field);
        if (!Double.isFinite(value) || value < 0) {
            throw new MalformedMessageException(field + ": out of range");
        }
        return value;
    }
}
