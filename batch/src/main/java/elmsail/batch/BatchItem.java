package elmsail.batch;

import java.util.Map;

/** One item of a job: its id, path, headers, decoded body and tokens (prompt and most out). */
public record BatchItem(
    String id, String path, Map<String, String> headers, byte[] body, long tokens) {}
