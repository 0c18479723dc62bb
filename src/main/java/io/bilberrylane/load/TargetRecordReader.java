package io.bilberrylane.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.bilberrylane.net.HttpReply;
import io.bilberrylane.net.SimpleHttpClient;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletionException;

/** Reads what the target stand-ins saw. */
final class TargetRecordReader {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long TIMEOUT_MILLIS = 20_000;

    private TargetRecordReader() {}

    /** Returns the record of each target that answers, by its control address. */
    static Map<String, JsonNode> read(
            final SimpleHttpClient caller, final List<InetSocketAddress> controls) {
        final Map<String, JsonNode> records = new TreeMap<>();
        for (final InetSocketAddress control : new ArrayList<>(controls)) {
            try {
                final HttpReply reply =
                        caller.call(control, HttpMethod.GET, "/standin/record", "", TIMEOUT_MILLIS)
                                .join();
                records.put(control.toString(), MAPPER.readTree(reply.body()));
            } catch (CompletionException | JsonProcessingException e) {
                System.err.println("record of " + control + " not read: " + e.getMessage());
            }
        }
        return records;
    }
}
