package elmsail.batch;

import java.util.Map;

/**
 * One item of a batch job: a request to a model server.
 *
 * @param id unique in the job
 * @param path of the request, by which its route is looked up
 * @param headers of the request
 * @param body of the request, decoded
 * @param tokens of the prompt and of the longest possible output together
 */
public record BatchItem(
    String id, String path, Map<String, String> headers, byte[] body, long tokens) {}
