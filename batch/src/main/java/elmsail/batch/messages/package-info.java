/**
 * The records and messages of batch jobs and their encodings: job records in the register, job
 * bodies, heartbeats, token counts and the JSON of a submission. The binary encodings are sent on
 * the wire and stored on disk, so their layouts must not change.
 */
package elmsail.batch.messages;
