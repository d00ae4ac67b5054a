package elmsail.runtime.http;

import java.util.Map;

/**
 * A small call, whole in memory.
 *
 * @param path without the query, as it came
 * @param query decoded names and values
 * @param headers names in lower case
 */
public record SimpleHttpRequest(
    String method,
    String path,
    Map<String, String> query,
    Map<String, String> headers,
    byte[] body) {}
