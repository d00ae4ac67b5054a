package elmsail.batch.messages;

import java.util.List;

/**
 * What is fixed of a job from its acceptance on.
 *
 * @param route the name of the route that it was handed in on, on which its tokens are counted
 * @param edition the configuration's, at the acceptance: an older one says nothing of its routes
 * @param runDueMs ms after the acceptance; results are due
 * @param shelfMs ms after the acceptance; then items may be given up
 * @param body the name of the blob that holds its batchItems
 */
public record JobDescription(
    String route,
    String host,
    long edition,
    long runDueMs,
    long shelfMs,
    String body,
    List<JobRecord.Item> items) {}
