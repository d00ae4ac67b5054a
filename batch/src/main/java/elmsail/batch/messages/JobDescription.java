package elmsail.batch.messages;

import java.util.List;

/**
 * What is fixed of a job from its acceptance on.
 *
 * @param routeName the name of the route that it was handed in on, on which its tokens are counted
 * @param configVersion the configuration's, at the acceptance: an older one says nothing of its
 *     routes
 * @param completionTargetMs ms after the acceptance; results are due
 * @param itemTtlMs ms after the acceptance; then items may be given up
 * @param bodyBlobName the name of the blob that holds its batchItems
 */
public record JobDescription(
    String routeName,
    String host,
    long configVersion,
    long completionTargetMs,
    long itemTtlMs,
    String bodyBlobName,
    List<JobRecord.Item> items) {}
