/**
 * Batch jobs: a client submits many items in one request and reads their results later. The
 * subpackages contain the API for clients ({@code api}), the records and messages ({@code
 * messages}), the access of gateways to the stores ({@code client}), the execution of items at a
 * gateway ({@code run}) and the part of the store process ({@code store}).
 */
package elmsail.batch;
