/**
 * The records and messages of batch jobs and their encodings: job records in the register, job
 * bodies, heartbeats, token counts and the JSON of a submission. The binary forms are on the wire
 * and on disk and do not change.
 */
package elmsail.batch.messages;
