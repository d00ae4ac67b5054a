/**
 * Batch jobs: a client submits many items in one call and reads their results later. The packages
 * below hold the calls of clients ({@code api}), the records and messages ({@code messages}),
 * access to the stores ({@code client}), the running of items at a gateway ({@code run}) and the
 * store's side ({@code store}).
 */
package elmsail.batch;
