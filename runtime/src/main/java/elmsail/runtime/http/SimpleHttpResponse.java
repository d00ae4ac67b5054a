package elmsail.runtime.http;

import java.util.Map;

/** A small response, complete in memory; a received one has header names in lower case. */
public record SimpleHttpResponse(int status, Map<String, String> headers, byte[] body) {}
