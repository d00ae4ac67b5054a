package elmsail.runtime.http;

import java.util.Map;

/** A small answer, whole in memory; header names in lower case where it was received. */
public record SimpleHttpResponse(int status, Map<String, String> headers, byte[] body) {}
