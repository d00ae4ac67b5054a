package elmsail.runtime.http;

import java.util.Map;

/**
 * A small request, complete in memory.
 *
 * @param path as received, without the query
 * @param query decoded names and values
 * @param headers by name in lower case
 */
public record SimpleHttpRequest(
    String method,
    String path,
    Map<String, String> query,
    Map<String, String> headers,
    byte[] body) {}
