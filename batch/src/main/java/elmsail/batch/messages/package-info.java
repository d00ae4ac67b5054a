/**
 * What is said and kept about batch jobs, each with its bytes: job records in the register, bodies,
 * heartbeats and counts. Bytes that cannot be read fail with GARBLED.
 */
package elmsail.batch.messages;
