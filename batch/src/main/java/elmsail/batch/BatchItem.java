package elmsail.batch;

import java.util.Map;

/**
 * One item of a batch job: a request to a model server.
 *
 * @param id unique within the job
 * @param path the path of the request, which determines its route
 * @param headers the headers of the request
 * @param body the decoded body of the request
 * @param tokens the number of tokens of the prompt and of the longest possible output together
 */
public record BatchItem(
    String id, String path, Map<String, String> headers, byte[] body, long tokens) {}
